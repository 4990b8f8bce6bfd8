//! A parser for JSON texts.

/// A JSON value; the members of objects are in the order of the text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(members) => members.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn items(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::Array(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut parser = Parser { bytes, at: 0 };
    parser.value()
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = Vec::new();
        while self.peek()? != b'}' {
            let name = self.text()?;
            self.take(b':')?;
            members.push((name, self.value()?));
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b'}')?;
        Some(Json::Object(members))
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b']')?;
        Some(Json::Array(items))
    }

    /// A text; of the escapes only those that the system writes.
    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'u' => return None,
                        other => other,
                    });
                }
                other => out.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
