//! applepond: decides which worker runs a job, for functions that workers load on demand.
pub mod control;
pub mod interface;
