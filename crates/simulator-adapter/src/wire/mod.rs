//! The simulator's binary protocol: decodes frames and encodes replies. It makes no load-balancing decisions.

mod decoder;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use frame::read_frame;
pub use reply::Reply;
