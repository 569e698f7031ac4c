//! Client of the cloud: machine types, rentals, releases, and the list of rented machines.

use super::http::{exchange, ConnectionReuse, ExchangeError, HttpRequest, HttpResponse};
use crate::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};
use awc::http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Number of machines on a page of the machine list.
const PAGE_SIZE: usize = 500;
/// Maximum size of a response body, in bytes. A page of the machine list has [`PAGE_SIZE`] machines, so this allows 8 KiB for
/// each.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of machines that one rental request may ask for.
pub const MAX_RENT_COUNT: u32 = 50;
/// Maximum number of machines that one release request may name.
pub const MAX_RELEASE_COUNT: usize = 100;

/// The outcome of a rental request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RentOutcome {
    /// Machines with these names were rented, possibly fewer than requested.
    Rented(Vec<String>),
    /// The cloud has no machines of this kind available.
    NoCapacity,
    /// The cloud refused the request for another reason and has certainly not executed it.
    Refused,
    /// No conclusive response: the request may have been executed, or may be executed later.
    Unknown,
}

/// The reason why a call failed. A release may have been executed nevertheless.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CloudError {
    /// No response was received.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response has an HTTP status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response body cannot be decoded.
    #[error("response body cannot be decoded")]
    Malformed,
    /// The response contains no machine types, or one with an impossible amount.
    #[error("machine types missing or with implausible amounts")]
    ImplausibleMachineTypes,
}

/// A page of the list of rented machines, sorted by name.
#[derive(Debug)]
pub struct MachinePage {
    /// The machines on this page.
    pub machines: Vec<ListedMachine>,
    /// Name of the machine after which the next page begins, if there is a next page.
    pub next: Option<String>,
}

/// Client of the cloud.
#[derive(Clone)]
pub struct CloudClient {
    http: awc::Client,
    base: String,
}

impl CloudClient {
    /// Creates a client of the cloud at `address`.
    #[must_use]
    pub fn new(http: awc::Client, address: SocketAddr) -> Self {
        CloudClient {
            http,
            base: format!("http://{address}"),
        }
    }

    /// Returns the machine types that the cloud offers.
    ///
    /// # Errors
    /// Returns an error if the cloud does not answer with plausible machine types.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let response = self.call(Method::GET, "/flavors", None).await?;
        let types = decode_ok::<Catalogue>(&response)?.machine_types;
        if types.is_empty() || !types.iter().all(is_plausible) {
            return Err(CloudError::ImplausibleMachineTypes);
        }
        Ok(types)
    }

    /// Rents machines. The cloud executes requests with the same name only once.
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
            StatusCode::SERVICE_UNAVAILABLE if is_capacity_refusal(&response.body) => {
                RentOutcome::NoCapacity
            }
            StatusCode::BAD_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => RentOutcome::Refused,
            _ => RentOutcome::Unknown,
        }
    }

    /// Releases machines. After a success the machines no longer exist, and nothing runs on them any more.
    ///
    /// # Errors
    /// Returns an error if the cloud does not confirm the release.
    pub async fn release(&self, machines: &[String]) -> Result<(), CloudError> {
        let body = encode(&MachineNames {
            machines: machines.to_vec(),
        });
        let response = self
            .call(Method::POST, "/machines/release", Some(body))
            .await?;
        expect_ok(&response)
    }

    /// Returns the page of the list of rented machines that begins after the name `after`.
    ///
    /// # Errors
    /// Returns an error if the cloud does not answer with a page.
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
            max_response_bytes: MAX_RESPONSE_BYTES,
            connection: ConnectionReuse::Keep,
        };
        exchange(&self.http, request).await
    }
}

/// Returns an error unless the status of the response is 200.
fn expect_ok(response: &HttpResponse) -> Result<(), CloudError> {
    match response.status {
        StatusCode::OK => Ok(()),
        status => Err(CloudError::Status(status)),
    }
}

/// Decodes the body of a response with status 200.
fn decode_ok<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, CloudError> {
    expect_ok(response)?;
    decode(&response.body).map_err(|_| CloudError::Malformed)
}

/// Reports whether a refusal with status 503 is due to a lack of capacity. Only the body distinguishes it from other refusals
/// with this status.
fn is_capacity_refusal(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("capacity")
}

/// Reports whether the amounts of a machine type are possible.
fn is_plausible(machine_type: &MachineType) -> bool {
    machine_type.cpus > 0.0
        && machine_type.memory_gb >= 0.0
        && machine_type.price >= 0.0
        && machine_type.boot_s >= 0.0
}
