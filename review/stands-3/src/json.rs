//! A small reader of JSON.

/// A value.
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
    /// Reads a value; `None` if the text is not JSON.
    pub fn read(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.skip_spaces();
        (reader.at == text.len()).then_some(value)
    }

    /// Returns a field of a table.
    pub fn field(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|it| it.0 == name).map(|it| &it.1)
    }

    /// Returns a whole number in a field of a table.
    pub fn number(&self, name: &str) -> Option<u64> {
        let Some(Json::Number(number)) = self.field(name) else { return None };
        Some(*number as u64)
    }

    /// Returns a text in a field of a table.
    pub fn text(&self, name: &str) -> Option<&str> {
        let Some(Json::Text(text)) = self.field(name) else { return None };
        Some(text)
    }

    /// Returns the values of a list.
    pub fn list(&self) -> &[Json] {
        let Json::List(values) = self else { return &[] };
        values
    }

    /// Returns the whole numbers of a list.
    pub fn numbers(&self) -> Vec<u64> {
        let number = |it: &Json| if let Json::Number(number) = it { Some(*number as u64) } else { None };
        self.list().iter().filter_map(number).collect()
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_spaces(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.skip_spaces();
        self.text[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        while self.take("}").is_none() {
            if !fields.is_empty() {
                self.take(",")?;
            }
            self.skip_spaces();
            let name = self.text()?;
            self.take(":")?;
            fields.push((name, self.value()?));
        }
        Some(Json::Table(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut values = Vec::new();
        while self.take("]").is_none() {
            if !values.is_empty() {
                self.take(",")?;
            }
            values.push(self.value()?);
        }
        Some(Json::List(values))
    }

    /// Reads a text without escapes, which these messages don't use.
    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let length = self.text[self.at..].iter().position(|it| *it == b'"')?;
        let text = std::str::from_utf8(&self.text[self.at..self.at + length]).ok()?;
        self.at += length + 1;
        Some(text.to_string())
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |it: &&u8| it.is_ascii_digit() || b"+-.eE".contains(it);
        let length = self.text[self.at..].iter().take_while(is_part).count();
        let number = std::str::from_utf8(&self.text[self.at..self.at + length]).ok()?.parse().ok()?;
        self.at += length;
        Some(Json::Number(number))
    }
}
