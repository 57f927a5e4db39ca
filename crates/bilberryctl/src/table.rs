//! Prints rows as a table or values as JSON.

use serde::Serialize;

use crate::failure::Failure;

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|it| Failure::Daemon(it.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints rows under their headings, with each column as wide as its widest cell.
pub fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings.iter().map(|it| it.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    print_row(&widths, headings.iter().map(|it| it.to_string()));
    for row in rows {
        print_row(&widths, row.iter().cloned());
    }
}

fn print_row(widths: &[usize], cells: impl Iterator<Item = String>) {
    let mut line = String::new();
    for (width, cell) in widths.iter().zip(cells) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    println!("{}", line.trim_end());
}
