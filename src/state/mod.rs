//! State of workers, functions and requests, with the indexes over it. It makes no decisions and does not
//! depend on [`control`](crate::control).

pub(crate) mod function;
pub(crate) mod request;
pub(crate) mod worker;
pub(crate) mod worker_table;
