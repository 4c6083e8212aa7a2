//! applepond: decides which worker runs a request, for functions that workers load on demand.
pub mod control;
mod functions;
mod hashing;
pub mod interface;
mod requests;
mod servers;
