use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;

const SEND_CHUNK_BYTES: usize = 16 << 10;

/// Reads a whole body of limited size.
pub(super) async fn receive(stream: &mut RecvStream, max_bytes: usize) -> Result<Bytes, Box<str>> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|error| Box::from(error.to_string()))?;
        if whole.len() + chunk.len() > max_bytes {
            return Err(format!("the body is larger than {max_bytes} bytes").into());
        }
        // The window is returned so that the sender may go on.
        let _ = stream.flow_control().release_capacity(chunk.len());
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Sends a whole body as the receiver's window allows.
pub(super) async fn send(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len().min(SEND_CHUNK_BYTES));
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let room = match granted {
            Some(room) => room?,
            None => return Err(h2::Reason::CANCEL.into()),
        };
        let chunk = body.split_to(room.min(body.len()));
        stream.send_data(chunk, false)?;
    }
    stream.send_data(Bytes::new(), true)
}
