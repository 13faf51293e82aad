//! The filters that a request passes before it is forwarded: identify, authorize, then take up its stream.

mod authorize;
mod identify;
mod take_up;

pub(crate) use authorize::authorize;
pub(crate) use identify::{RoutedRequest, identify};
pub(crate) use take_up::{StreamPart, StreamRequest, take_up};
