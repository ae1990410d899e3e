//! A small HTTP/1.1 server, one thread a connection, and a client that makes one call a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    /// The number of the connection, from 1 for each server.
    pub connection: u64,
    pub method: String,
    pub path: String,
    pub query: String,
    pub expected_executor: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<String> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| unescape(value))
        })
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(code) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(code);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection closes without an answer.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Self {
        Reply::Answer(status, body.into_bytes())
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves on a port of the loopback address until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    serve_on(listener, handler, Arc::new(|| true));
    address
}

/// Serves on an address while `is_up` says so. Without a listener, connections are refused.
pub fn serve_on(
    mut listener: TcpListener,
    handler: Handler,
    is_up: Arc<dyn Fn() -> bool + Send + Sync>,
) {
    thread::spawn(move || {
        let address = listener.local_addr().expect("an address");
        let mut connection = 0;
        loop {
            if !is_up() {
                drop(listener);
                while !is_up() {
                    thread::sleep(Duration::from_millis(2));
                }
                listener = loop {
                    match TcpListener::bind(address) {
                        Ok(listener) => break listener,
                        Err(_) => thread::sleep(Duration::from_millis(2)),
                    }
                };
            }
            listener.set_nonblocking(true).expect("a listener");
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            connection += 1;
            let handler = Arc::clone(&handler);
            let number = connection;
            thread::spawn(move || answer_all(stream, number, &handler));
        }
    });
}

fn answer_all(stream: TcpStream, connection: u64, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader, connection) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Close => return,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connection: u64) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (mut length, mut expected_executor) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        match &*name.to_ascii_lowercase() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-expect-executor" => expected_executor = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        connection,
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        expected_executor,
        body,
    })
}

/// Makes one call and returns the status and the body, or `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}
