//! What a router knows of workers, functions and requests. Plain state with its indexes: nothing here
//! decides, and nothing here refers to [`control`](crate::control).

pub(crate) mod function;
pub(crate) mod request;
pub(crate) mod worker;
pub(crate) mod worker_table;
