//! Hosts that stand for the ownership of cells, over a store in memory.

mod hosts;
mod memory_store;
mod slow_store;
mod vacancies;
