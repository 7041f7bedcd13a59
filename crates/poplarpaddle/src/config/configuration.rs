//! [`State`] as the configuration of a [`control::Node`](crate::control::Node).

use std::sync::Arc;

use super::{Offer, State};
use crate::control;
use crate::error::Result;
use crate::view;

impl control::Configuration for State {
    fn offer(&mut self, manifest: &[u8]) -> Result<control::Offer> {
        Self::offer(self, manifest).map(Into::into)
    }

    fn supply(&mut self, part: &[u8]) -> Result<control::Offer> {
        Self::supply(self, part).map(Into::into)
    }

    fn generation(&self) -> u64 {
        Self::generation(self)
    }

    fn digest(&self) -> control::Digest {
        Self::digest(self).into()
    }

    fn base(&self) -> control::Digest {
        Self::base(self).into()
    }

    fn update(&self, base: &control::Digest) -> Option<&[u8]> {
        Self::update(self, &(*base).into())
    }

    fn manifest(&self) -> Option<&[u8]> {
        Self::manifest(self)
    }

    fn part(&self, digest: &control::Digest) -> Option<&[u8]> {
        Self::part(self, &(*digest).into())
    }

    fn current(&self) -> Option<&Arc<view::Config>> {
        Self::current(self)
    }
}

impl From<Offer> for control::Offer {
    fn from(offer: Offer) -> Self {
        match offer {
            Offer::Stale => Self::Stale,
            Offer::Current => Self::Current,
            Offer::Missing(digests) => Self::Missing(digests.into_iter().map(Into::into).collect()),
            Offer::Applied => Self::Applied,
        }
    }
}
