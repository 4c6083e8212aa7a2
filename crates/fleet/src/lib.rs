//! The shell of what the routers of a fleet have among each other: datagrams under a keyed hash on one port.
//! `serve` opens it where the settings have a `fleet` block, and nothing else does.
mod ask;
pub mod desk;
pub mod envelope;
mod shared;
mod shell;

pub use ask::{NoView, ask};
pub use shared::{OpeningGuards, Place, Shared};
pub use shell::{Fleet, View, page};
