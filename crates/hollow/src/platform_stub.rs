//! The platform's list for the few real routers of a hollow fleet: one page, told to whoever asks.
//! Starts are refused for want of memory, stops are of nothing known.

use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

#[derive(Default)]
pub struct Asked {
    pub lists: Cell<u64>,
    pub bytes: Cell<u64>,
    pub orders: Cell<u64>,
}

pub async fn serve(listener: TcpListener, page: Vec<u8>, asked: Rc<Asked>) {
    let page: Rc<[u8]> = page.into();
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(converse(stream, page.clone(), asked.clone()));
    }
}

async fn converse(mut stream: TcpStream, page: Rc<[u8]>, asked: Rc<Asked>) -> Option<()> {
    let mut read = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            let mut part = [0u8; 4096];
            let count = stream.read(&mut part).await.ok().filter(|count| *count > 0 && read.len() < 65_536)?;
            read.extend_from_slice(&part[..count]);
        };
        let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
        let body = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
        let full = end + body.unwrap_or(0);
        while read.len() < full {
            let mut part = [0u8; 4096];
            let count = stream.read(&mut part).await.ok().filter(|count| *count > 0)?;
            read.extend_from_slice(&part[..count]);
        }
        read.drain(..full);
        let (status, body): (&str, &[u8]) = if head.starts_with("get /v1/instances") {
            asked.lists.set(asked.lists.get() + 1);
            asked.bytes.set(asked.bytes.get() + page.len() as u64);
            ("200 OK", &page)
        } else if head.starts_with("post") {
            asked.orders.set(asked.orders.get() + 1);
            ("507 Insufficient Storage", b"{}")
        } else {
            ("404 Not Found", b"{}")
        };
        let told =
            format!("HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(told.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
    }
}
