//! Parses JSON as far as the calls to the store need it.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    parser.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self
            .text
            .get(self.at)
            .is_some_and(|byte| byte.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while !self.take(b'}') {
                    self.take(b',');
                    self.skip_space();
                    let name = self.string()?;
                    self.take(b':');
                    fields.insert(name, self.value()?);
                }
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    self.take(b',');
                    items.push(self.value()?);
                }
                Some(Json::List(items))
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word(4, Json::Bool(true)),
            b'f' => self.word(5, Json::Bool(false)),
            b'n' => self.word(4, Json::Null),
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Option<Json> {
        self.at += length;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
