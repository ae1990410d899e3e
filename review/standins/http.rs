//! A blocking HTTP/1.1 server and client on loopback addresses, one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
            .map(|(_, value)| value.as_str())
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: &str) -> Option<Self> {
        Some(Self {
            status,
            body: body.as_bytes().to_vec(),
        })
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A listening server. Dropping or stopping it closes its listener and all its connections.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            stopped: Arc::default(),
            connections: Arc::default(),
        };
        let (stopped, connections) = (server.stopped.clone(), server.connections.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            connections.lock().unwrap().push(copy);
                        }
                        let (handler, stopped) = (handler.clone(), stopped.clone());
                        std::thread::spawn(move || serve(stream, &handler, &stopped));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(server)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The accepting thread drops the listener within its pause.
        std::thread::sleep(Duration::from_millis(6));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stopped: &AtomicBool) {
    let Ok(read_half) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(read_half);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader) {
        let response = handler(request);
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let Some(response) = response else { break };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut out = head.into_bytes();
        out.extend_from_slice(&response.body);
        if stream.write_all(&out).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn body_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), decode_percent(value)))
        .collect();
    let mut body = vec![0; body_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| {
                text.get(at + 1..at + 3)
                    .and_then(|digits| u8::from_str_radix(digits, 16).ok())
            })
            .flatten();
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call over a new connection, as a client of the system does.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Result<(u16, String), String> {
    let deadline = Instant::now() + wait;
    let stream = TcpStream::connect_timeout(&address, wait)
        .map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        wait.as_millis(),
        body.len()
    );
    let mut out = head.into_bytes();
    out.extend_from_slice(body.as_bytes());
    (&stream)
        .write_all(&out)
        .map_err(|error| format!("not sent: {error}"))?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_headers(&mut reader).ok_or("no answer")?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or("no status")?;
    let mut body = vec![0; body_length(&headers)];
    reader
        .read_exact(&mut body)
        .map_err(|error| format!("answer cut off: {error}"))?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
