//! A small JSON reader for the bodies of orders.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start().as_bytes();
        value(&mut rest)
    }

    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.field(name)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.field(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn encode(&self) -> String {
        match self {
            Json::Null => "null".to_string(),
            Json::Bool(it) => it.to_string(),
            Json::Number(it) => it.to_string(),
            Json::Text(it) => format!("\"{it}\""),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::encode).collect();
                format!("[{}]", items.join(","))
            }
            Json::Table(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|it| format!("\"{}\":{}", it.0, it.1.encode())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn skip_space(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], wanted: u8) -> Option<()> {
    skip_space(rest);
    (*rest.first()? == wanted).then(|| *rest = &rest[1..])
}

fn value(rest: &mut &[u8]) -> Option<Json> {
    skip_space(rest);
    match *rest.first()? {
        b'{' => table(rest),
        b'[' => list(rest),
        b'"' => text(rest).map(Json::Text),
        b't' => word(rest, "true", Json::Bool(true)),
        b'f' => word(rest, "false", Json::Bool(false)),
        b'n' => word(rest, "null", Json::Null),
        _ => number(rest),
    }
}

fn word(rest: &mut &[u8], word: &str, meaning: Json) -> Option<Json> {
    *rest = rest.strip_prefix(word.as_bytes())?;
    Some(meaning)
}

fn number(rest: &mut &[u8]) -> Option<Json> {
    let end = rest.iter().position(|it| !b"+-.eE0123456789".contains(it)).unwrap_or(rest.len());
    let parsed = std::str::from_utf8(&rest[..end]).ok()?.parse().ok()?;
    *rest = &rest[end..];
    Some(Json::Number(parsed))
}

fn text(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let end = rest.iter().position(|it| *it == b'"')?;
    let text = String::from_utf8_lossy(&rest[..end]).into_owned();
    *rest = &rest[end + 1..];
    Some(text)
}

fn list(rest: &mut &[u8]) -> Option<Json> {
    take(rest, b'[')?;
    let mut items = Vec::new();
    if take(rest, b']').is_some() {
        return Some(Json::List(items));
    }
    loop {
        items.push(value(rest)?);
        if take(rest, b',').is_none() {
            take(rest, b']')?;
            return Some(Json::List(items));
        }
    }
}

fn table(rest: &mut &[u8]) -> Option<Json> {
    take(rest, b'{')?;
    let mut fields = Vec::new();
    if take(rest, b'}').is_some() {
        return Some(Json::Table(fields));
    }
    loop {
        skip_space(rest);
        let name = text(rest)?;
        take(rest, b':')?;
        fields.push((name, value(rest)?));
        if take(rest, b',').is_none() {
            take(rest, b'}')?;
            return Some(Json::Table(fields));
        }
    }
}
