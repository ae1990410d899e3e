//! A blocking HTTP/1.1 server and client over loopback addresses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| &**value)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| &**value)
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into().into_bytes(),
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A listener that can be closed with all of its connections, as when its process ends.
pub struct Server {
    address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let acceptor = thread::spawn({
            let (closed, streams) = (Arc::clone(&closed), Arc::clone(&streams));
            move || {
                while !closed.load(Ordering::SeqCst) {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_nodelay(true);
                            streams.lock().unwrap().extend(stream.try_clone());
                            let (handler, closed) = (Arc::clone(&handler), Arc::clone(&closed));
                            thread::spawn(move || serve(stream, &handler, &closed));
                        }
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
            }
        });
        Ok(Self {
            address,
            closed,
            streams,
            acceptor: Some(acceptor),
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: TcpStream, handler: &Handler, closed: &AtomicBool) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(response) = handler(request) else {
            break;
        };
        if closed.load(Ordering::SeqCst) {
            break;
        }
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let sent = writer.write_all(&[head.as_bytes(), &response.body].concat());
        if sent.is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = vec![0; length.and_then(|(_, text)| text.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let _method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value)));
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes one call over a new connection; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
