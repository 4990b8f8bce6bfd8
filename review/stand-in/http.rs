//! HTTP/1.1 on blocking sockets: as much of it as the stand-ins need.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A first line with header fields.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A request with its body.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

fn read_line(rd: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if rd.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line)
        .map(Some)
        .map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(rd: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(first_line) = read_line(rd)? else {
        return Ok(None);
    };
    let mut head = Head {
        first_line,
        fields: Vec::new(),
    };
    loop {
        let line = read_line(rd)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        head.fields.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a chunked body; `None` at its end.
pub fn read_chunk(rd: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(rd)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    rd.read_exact(&mut chunk)?;
    read_line(rd)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a body with a length or in chunks.
pub fn read_body(rd: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(rd)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    rd.read_exact(&mut body)?;
    Ok(body)
}

/// Answers one request on a connection. An error, or `false`, ends the connection.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Serves connections of a listener, each in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                // The other side may close at any time.
                let _closed = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rd = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut rd)? {
        let body = read_body(&mut rd, &head)?;
        if !handler(&Request { head, body }, &mut stream)? {
            break;
        }
    }
    Ok(())
}

/// Listens at a free port of a loopback address.
pub fn listen(ip: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
