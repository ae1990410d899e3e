use crate::platform::OrderError;
use crate::platform::StartRefusal;

/// Sends of a start order before its outcome counts as final.
const SENDS_MAX: u32 = 3;

/// What follows from the answer to one send of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// The order may be sent again.
    Resend,
    /// The outcome of the order as a whole.
    Finish(Result<(), OrderError>),
}

/// The sends of one start order.
///
/// An executor may carry out a send that it never answered after it has refused a later one, for
/// example because room has become free. Once a send has remained without an answer, only an
/// executor that knows the run can settle the outcome, and any other failure leaves it unknown.
#[derive(Debug, Default)]
pub struct StartAttempts {
    sends: u32,
    may_have_run: bool,
}

impl StartAttempts {
    /// Returns whether a send so far may have started the run or may still do so.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records the answer to the next send.
    pub fn record(&mut self, answer: Result<(), OrderError>) -> StartStep {
        self.sends += 1;
        let is_last = self.sends >= SENDS_MAX;
        match answer {
            Err(OrderError::Unknown(_)) if !is_last => {
                self.may_have_run = true;
                StartStep::Resend
            }
            Err(OrderError::NotSent(_) | OrderError::NoListener(_)) if !is_last => {
                StartStep::Resend
            }
            Ok(())
            | Err(
                OrderError::Fenced
                | OrderError::Unknown(_)
                | OrderError::Refused(StartRefusal::Old),
            ) => StartStep::Finish(answer),
            Err(error) if self.may_have_run => {
                let cause = format!("{error}, after a send without an answer");
                StartStep::Finish(Err(OrderError::Unknown(cause.into())))
            }
            Err(error) => StartStep::Finish(Err(error)),
        }
    }
}
