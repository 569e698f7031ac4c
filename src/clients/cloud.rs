//! The cloud's client: machine types, rentals, releases, and the list of rented machines.

use super::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest, HttpResponse};
use crate::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use awc::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(4);
/// Machines on a page of the list.
const PAGE_SIZE: usize = 500;
/// Largest response accepted. A page of the list has [`PAGE_SIZE`] machines; this leaves 8 KiB for each.
const RESPONSE_LIMIT: usize = 4 << 20;
/// Most machines that one request may ask for.
pub const MAX_RENT_COUNT: u32 = 50;
/// Most machines that one release may name.
pub const MAX_RELEASE_COUNT: usize = 100;

/// How a rental request can end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    /// These machines were rented, perhaps fewer than were asked for.
    Rented(Vec<String>),
    /// The cloud has no such machines.
    NoCapacity,
    /// Certainly not executed, for another reason.
    Refused,
    /// No response that tells: it may have been executed, or may be executed later.
    Unknown,
}

/// Why a call has not brought what it was made for. A release may have been executed all the same.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CloudError {
    /// No response.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// Another status than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// A body that does not decode.
    #[error("response not understood")]
    Malformed,
    /// No machine types, or some with impossible amounts.
    #[error("implausible machine types")]
    ImplausibleMachineTypes,
}

/// A page of the list of rented machines, in the order of their names.
#[derive(Debug)]
pub struct MachinePage {
    /// The machines.
    pub machines: Vec<ListedMachine>,
    /// After which machine the next page begins, if there is one.
    pub next: Option<String>,
}

/// The client.
#[derive(Clone)]
pub struct CloudClient {
    http: awc::Client,
    base: String,
}

impl CloudClient {
    /// A client of the cloud at `address`.
    #[must_use]
    pub fn new(http: awc::Client, address: SocketAddr) -> Self {
        CloudClient {
            http,
            base: format!("http://{address}"),
        }
    }

    /// The machine types.
    ///
    /// # Errors
    /// If the cloud does not answer with usable machine types.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response = self.call(Method::GET, "/flavors", None).await?;
        let types = decode_ok::<Catalogue>(&response)?.machine_types;
        if types.is_empty() || !types.iter().all(is_plausible) {
            return Err(CloudError::ImplausibleMachineTypes);
        }
        Ok(types)
    }

    /// Rents machines. Requests with the same name are executed once.
    pub async fn rent(&self, request: &RentRequest) -> RentOutcome {
        let body = Some(encode(request));
        let Ok(response) = self.call(Method::POST, "/machines", body).await else {
            return RentOutcome::Unknown;
        };
        match response.status {
            StatusCode::OK => decode::<MachineNames>(&response.body)
                .map_or(RentOutcome::Unknown, |names| {
                    RentOutcome::Rented(names.machines)
                }),
            StatusCode::SERVICE_UNAVAILABLE if names_capacity(&response.body) => {
                RentOutcome::NoCapacity
            }
            StatusCode::BAD_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => RentOutcome::Refused,
            _ => RentOutcome::Unknown,
        }
    }

    /// Releases machines. Once this has succeeded, they and everything on them are gone.
    ///
    /// # Errors
    /// If the cloud does not confirm the release.
    pub async fn release(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = encode(&MachineNames {
            machines: machines.to_vec(),
        });
        let response = self
            .call(Method::POST, "/machines/release", Some(body))
            .await?;
        expect_ok(&response)
    }

    /// One page of the list of rented machines: those whose names follow `after`.
    ///
    /// # Errors
    /// If the cloud does not answer with a page.
    pub async fn list_page(&self, after: &str) -> Result<MachinePage, CloudError> {
        let path = format!("/machines?after={after}&limit={PAGE_SIZE}");
        let response = self.call(Method::GET, &path, None).await?;
        let list: MachineList = decode_ok(&response)?;
        let last = list.machines.last().filter(|_| list.has_more);
        Ok(MachinePage {
            next: last.map(|machine| machine.id.clone()),
            machines: list.machines,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<HttpResponse, ExchangeError> {
        let request = HttpRequest {
            method,
            url: format!("{}{path}", self.base),
            body,
            timeout: TIMEOUT,
            response_limit: RESPONSE_LIMIT,
            connection: ConnectionReuse::Keep,
        };
        exchange(&self.http, request).await
    }
}

fn expect_ok(response: &HttpResponse) -> Result<(), CloudError> {
    match response.status {
        StatusCode::OK => Ok(()),
        status => Err(CloudError::Status(status)),
    }
}

fn decode_ok<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    expect_ok(response)?;
    decode(&response.body).map_err(|_| CloudError::Malformed)
}

/// Whether a refusal is for want of capacity. Its status is that of other refusals as well, only its text tells.
fn names_capacity(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("capacity")
}

fn is_plausible(machine_type: &MachineType) -> bool {
    machine_type.cpus > 0.0
        && machine_type.memory_gb >= 0.0
        && machine_type.price >= 0.0
        && machine_type.boot_s >= 0.0
}
