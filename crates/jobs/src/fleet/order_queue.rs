use std::collections::VecDeque;

use super::Order;

/// The orders that wait to be sent to one executor.
///
/// An executor that answers late holds up the orders behind those in flight. Stops go first: a
/// cancelled task must not work on behind a burst of starts. Of the paces of a run only the latest is
/// kept, and none of a run that is to stop.
#[derive(Debug, Default)]
pub struct OrderQueue {
    stops: VecDeque<Order>,
    paces: VecDeque<Order>,
    starts: VecDeque<Order>,
}

impl OrderQueue {
    /// Adds an order.
    pub fn push(&mut self, order: Order) {
        match order {
            Order::Start(..) => self.starts.push_back(order),
            Order::Stop(task, run) => {
                self.remove_pace(&Order::Pace(task, run, 0));
                if !self.stops.contains(&order) {
                    self.stops.push_back(order);
                }
            }
            Order::Pace(..) => {
                self.remove_pace(&order);
                self.paces.push_back(order);
            }
        }
    }

    /// Removes and returns the next stop.
    pub fn pop_stop(&mut self) -> Option<Order> {
        self.stops.pop_front()
    }

    /// Removes and returns the next order that is no stop: paces before starts.
    pub fn pop_other(&mut self) -> Option<Order> {
        self.paces.pop_front().or_else(|| self.starts.pop_front())
    }

    /// Returns whether a stop waits.
    pub fn has_stop(&self) -> bool {
        !self.stops.is_empty()
    }

    /// Returns whether an order that is no stop waits.
    pub fn has_other(&self) -> bool {
        !self.paces.is_empty() || !self.starts.is_empty()
    }

    /// Removes the waiting pace of the same run.
    fn remove_pace(&mut self, order: &Order) {
        let Order::Pace(task, run, _) = *order else {
            return;
        };
        self.paces
            .retain(|waiting| !matches!(waiting, Order::Pace(t, r, _) if (*t, *r) == (task, run)));
    }
}
