//! HTTP control interface of a relay.

use rouille::{
    Request,
    Response, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    Link,
    partitions::Partition, //
};

/// Executes a command on `link`. All responses are JSON.
///
/// - `POST /cut?domain=X`: partitions X from all other domains; with `way=in` or `way=out` only in
///   that direction, with `peer=Y` only between X and Y.
/// - `POST /reset`, `POST /reset?domain=X`: closes connections.
/// - `POST /heal`, `POST /heal?domain=X`: heals partitions.
/// - `GET /list`: returns the partitions and the number of connections.
///
/// # Examples
///
/// ```
/// use camphordale_standin::{Link, LinkFile, handle_link_command};
/// use rouille::Request;
///
/// let file: LinkFile = serde_norway::from_str("{domains: [], links: []}")?;
/// let link = Link::start(file)?;
/// let cut = Request::fake_http("POST", "/cut?domain=a", vec![], vec![]);
/// assert_eq!(handle_link_command(&link, &cut).status_code, 200);
/// assert_eq!(link.partitions.active().len(), 2);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn handle_link_command(link: &Link, request: &Request) -> Response {
    let (status, value) = match apply(link, request) {
        Ok(closed) => (200, state(link, closed)),
        Err(error) => (400, json!({ "error": error })),
    };
    Response::from_data("application/json", value.to_string()).with_status_code(status)
}

fn apply(link: &Link, request: &Request) -> Result<usize, String> {
    let domain = request.get_param("domain");
    let name = request.url();
    match (request.method(), &*name) {
        ("POST", "/cut") => {
            let domain = domain.ok_or("domain is missing")?;
            let way = request.get_param("way").unwrap_or_else(|| "both".into());
            if !matches!(&*way, "both" | "in" | "out") {
                return Err(format!("way {way:?} is none of both, in and out"));
            }
            let domain = Some(Box::<str>::from(domain));
            let peer = request.get_param("peer").map(Box::<str>::from);
            if way != "in" {
                link.partitions.add(Partition {
                    from: domain.clone(),
                    to: peer.clone(),
                });
            }
            if way != "out" {
                link.partitions.add(Partition {
                    from: peer,
                    to: domain,
                });
            }
            Ok(0)
        }
        ("POST", "/reset") => Ok(link.partitions.close_connections(domain.as_deref())),
        ("POST", "/heal") => {
            link.partitions.heal(domain.as_deref());
            Ok(0)
        }
        ("GET", "/list") => Ok(0),
        (method, path) => Err(format!("no command {method} {path}")),
    }
}

fn state(link: &Link, closed: usize) -> Value {
    json!({
        "cuts": link.partitions.active(),
        "connections": link.partitions.connection_count(),
        "closed": closed,
    })
}
