use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_peer::membership::decode;
use dotterelhook_peer::membership::encode;
use dotterelhook_peer::rpc::PeerHandler;
use dotterelhook_types::CallError;

use super::BufferedAnswer;
use super::ForwardRequest;
use crate::front::Front;

/// Serves other fronts' forwarded requests, which are never forwarded again.
pub(crate) struct ForwardHandler {
    pub(crate) front: Arc<Front>,
}

#[async_trait]
impl PeerHandler for ForwardHandler {
    async fn call(&self, frame: Bytes) -> Result<Bytes, CallError> {
        let request: ForwardRequest =
            decode(&frame).map_err(|error| CallError::not_run(error.to_string()))?;
        let answer = match self.front.run_forwarded(request).await {
            Ok(answer) => answer,
            Err(error) => BufferedAnswer::from_error(&error),
        };
        let frame = encode(&answer).map_err(|error| CallError::may_have_run(error.to_string()))?;
        Ok(frame.into())
    }
}
