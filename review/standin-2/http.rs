//! HTTP/1.1 over one connection, for stand-ins that control each byte they send.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    /// A number from the query of the path.
    pub fn number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new() }
    }

    pub fn open(address: &str, wait: Duration) -> io::Result<Connection> {
        let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
        Ok(Connection::new(TcpStream::connect_timeout(&address, wait)?))
    }

    fn read_more(&mut self) -> io::Result<bool> {
        let mut bytes = [0u8; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads one message; `None` if the connection ends before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head = loop {
            if let Some(end) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            if !self.read_more()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.unread[..head]).into_owned();
        self.unread.drain(..head);
        let mut lines = text.lines();
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
        let mut message = Message { start_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let Some(line) = self.take_line()? else { return Ok(None) };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16).unwrap_or(0);
                if size == 0 {
                    while self.take_line()?.is_some_and(|line| !line.is_empty()) {}
                    return Ok(Some(message));
                }
                let Some(part) = self.take(size)? else { return Ok(None) };
                message.body.extend(part);
                self.take_line()?;
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        let Some(body) = self.take(length)? else { return Ok(None) };
        message.body = body;
        Ok(Some(message))
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.read_more()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.unread.len() < length {
            if !self.read_more()? {
                return Ok(None);
            }
        }
        Ok(Some(self.unread.drain(..length).collect()))
    }

    pub fn write(&mut self, start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        self.stream.write_all(&encode(start_line, headers, body))
    }
}

pub fn encode(start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{start_line}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Sends a request over a connection of its own and returns the answer.
pub fn call(
    address: &str,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, wait.min(Duration::from_secs(1)))?;
    connection.stream.set_read_timeout(Some(wait))?;
    let headers = [headers, &[("Connection", "close")]].concat();
    connection.write(request_line, &headers, body)?;
    connection.read()?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// A text field of a flat JSON object.
pub fn json_text(body: &[u8], field: &str) -> String {
    let text = String::from_utf8_lossy(body);
    let Some((_, rest)) = text.split_once(&format!("\"{field}\"")) else { return String::new() };
    rest.trim_start_matches([':', ' ']).trim_start_matches('"').split(['"', ',', '}']).next().unwrap_or("").to_owned()
}
