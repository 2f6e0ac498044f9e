//! The JSON that the bodies of the store's calls need.

/// A JSON value. Numbers are whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        Parser { text, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                let mut found = fields.iter().filter(|(known, _)| known == name);
                found.next().map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        Some(self.text[self.at])
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.next()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_word = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_word.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.take(b'[')?;
                let mut items = Vec::new();
                while self.next()? != b']' {
                    items.push(self.value()?);
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b']')?;
                Some(Json::List(items))
            }
            b'{' => {
                self.take(b'{')?;
                let mut fields = Vec::new();
                while self.next()? != b'}' {
                    self.next()?;
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b'}')?;
                Some(Json::Table(fields))
            }
            _ => {
                let rest = &self.text[self.at..];
                let end = rest.iter().position(|byte| !byte.is_ascii_digit());
                let digits = &rest[..end.unwrap_or(rest.len())];
                self.at += digits.len();
                std::str::from_utf8(digits)
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

/// Encodes a text.
pub fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!(
        "\"{}\"",
        escaped.replace('\n', "\\n").replace('\0', "\\u0000")
    )
}
