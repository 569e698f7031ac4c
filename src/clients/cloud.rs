//! The cloud's client.

use crate::clients::worker::exchange;
use crate::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use awc::http::Method;
use std::net::SocketAddr;
use std::time::Duration;

const CALL: Duration = Duration::from_secs(4);
/// A page of the list holds 500 machines; this leaves 8 KiB for each.
const ANSWER_LIMIT: usize = 4 << 20;
/// Most machines a request may ask for.
pub const RENT_MOST: u32 = 50;
/// Most names in one release.
pub const RELEASE_MOST: usize = 100;

/// How a rental can end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rented {
    /// These machines.
    Machines(Vec<String>),
    /// None to be had.
    NoCapacity,
    /// Surely not executed, for another reason.
    Refused,
    /// No answer: it may have been executed, or may yet be.
    Unknown,
}

/// The client.
#[derive(Clone)]
pub struct CloudClient {
    http: awc::Client,
    base: String,
}

impl CloudClient {
    /// A client of the cloud at `addr`.
    #[must_use]
    pub fn new(http: awc::Client, addr: SocketAddr) -> Self {
        CloudClient {
            http,
            base: format!("http://{addr}"),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<(u16, Vec<u8>)> {
        exchange(
            &self.http,
            method,
            &format!("{}{path}", self.base),
            body,
            CALL,
            ANSWER_LIMIT,
            false,
        )
        .await
        .ok()
    }

    /// The machine types, or none if the cloud does not say.
    pub async fn catalogue(&self) -> Option<Vec<MachineType>> {
        let (status, body) = self.call(Method::GET, "/flavors", None).await?;
        let c: Catalogue = if status == 200 {
            decode(&body).ok()?
        } else {
            return None;
        };
        let sane = |t: &MachineType| {
            t.cpus > 0.0 && t.memory_gb >= 0.0 && t.price >= 0.0 && t.boot_s >= 0.0
        };
        (!c.types.is_empty() && c.types.iter().all(sane)).then_some(c.types)
    }

    /// Rents machines under a request name.
    pub async fn rent(&self, r: &RentRequest) -> Rented {
        match self.call(Method::POST, "/machines", Some(encode(r))).await {
            Some((200, body)) => decode::<MachineNames>(&body)
                .map_or(Rented::Unknown, |m| Rented::Machines(m.machines)),
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                Rented::NoCapacity
            }
            Some((400 | 429 | 503, _)) => Rented::Refused,
            _ => Rented::Unknown,
        }
    }

    /// Releases machines; true once they and everything on them are gone.
    pub async fn release(&self, machines: &[String]) -> bool {
        let body = encode(&MachineNames {
            machines: machines.to_vec(),
        });
        matches!(
            self.call(Method::POST, "/machines/release", Some(body))
                .await,
            Some((200, _))
        )
    }

    /// One page of the list.
    pub async fn list(&self, after: &str) -> Option<(Vec<ListedMachine>, bool)> {
        let (status, body) = self
            .call(
                Method::GET,
                &format!("/machines?after={after}&limit=500"),
                None,
            )
            .await?;
        let page: MachineList = if status == 200 {
            decode(&body).ok()?
        } else {
            return None;
        };
        Some((page.machines, page.more))
    }
}
