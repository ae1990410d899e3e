//! Answers whose bytes come slowly, on a listener that is full. Guards against a connection that is taken for
//! one of a client without progress, although the client waits for the process.

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::http::AnswerBody;
use dotterelhook_kernel::http::ClientBody;
use dotterelhook_kernel::http::HttpHandler;
use dotterelhook_kernel::http::HttpServer;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Longer than the time after which a connection without progress is closed.
const PAUSE: Duration = Duration::from_millis(1_500);
const PARTS: [&str; 2] = ["first", "last"];

/// Sends two parts with a pause between them.
struct SlowBody {
    sent: usize,
    pause: Pin<Box<Sleep>>,
}

impl Body for SlowBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.sent == 1 && self.pause.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let part = PARTS.get(self.sent);
        self.sent += 1;
        Poll::Ready(part.map(|part| Ok(Frame::data(Bytes::from_static(part.as_bytes())))))
    }
}

struct SlowHandler;

#[async_trait]
impl HttpHandler for SlowHandler {
    async fn handle(&self, _request: Request<ClientBody>) -> Response<AnswerBody> {
        let pause = Box::pin(sleep(PAUSE));
        let body = SlowBody { sent: 0, pause };
        Response::new(AnswerBody::new(body))
    }
}

#[tokio::test]
async fn an_answer_that_pauses_is_not_cut_off_for_another_connection() {
    let kernel = Kernel::default();
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind("slow", any_port, 1, Arc::new(SlowHandler));
    let server = server.await.expect("a free port");
    let address = server.local_address();
    server.spawn(&kernel);

    let first = tokio::spawn(read_answer(address));
    sleep(PAUSE / 10).await;
    let second = read_answer(address).await;
    let first = first.await.expect("no panic");

    assert!(first.contains("last"), "{first}");
    assert!(second.contains("last"), "{second}");
}

async fn read_answer(address: SocketAddr) -> String {
    let mut client = TcpStream::connect(address).await.expect("a listener");
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    client.write_all(request).await.expect("sent");
    let mut answer = String::new();
    // A connection that is cut off ends early.
    let _ = client.read_to_string(&mut answer).await;
    answer
}
