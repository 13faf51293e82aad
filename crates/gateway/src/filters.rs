//! The filters that a request passes before it is forwarded: identify, then authorize.

mod authorize;
mod identify;

pub(crate) use authorize::authorize;
pub(crate) use identify::{RoutedRequest, identify};
