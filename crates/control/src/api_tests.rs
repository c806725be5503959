//! Which refused changes are recorded as invalid, tested against a core with prescribed replies.

use super::*;
use crate::control_message::ControlMessage;
use axum::body::Body;
use axum::http::Request;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use kernel::inbox;
use std::cell::RefCell;
use std::rc::Rc;
use test_case::test_case;
use tokio::sync::watch;

const TOKEN: &str = "Bearer long-secret";

/// Sends one request to the API over a core that answers every change with the given status. Returns the response's
/// status and the recorded faults.
fn send(core_status: u16, method: &str, path: &str, token: &str, body: &str) -> (u16, Vec<String>) {
    let request = Request::builder().method(method).uri(path).header("authorization", token).header("if-match", "*");
    let request = request.body(Body::from(body.to_owned())).expect("a request");
    let recorded: Rc<RefCell<Vec<String>>> = Rc::default();
    let status = Rc::new(RefCell::new(0));
    let (faults, response_status) = (recorded.clone(), status.clone());
    kernel::local(async move {
        let (sender, mut inbox) = inbox::<ControlMessage>(16);
        tokio::task::spawn_local(async move {
            while let Some(message) = inbox.next().await {
                let ControlMessage::Call { call, reply } = message else { continue };
                let status = match call {
                    ApiCall::NoteInvalid { fault } => {
                        faults.borrow_mut().push(fault);
                        200
                    }
                    _ => core_status,
                };
                let _ = reply.send(ApiReply::new(status, json!({"faults": [{"path": "k/t/n", "fault": "odd"}]})));
            }
        });
        let handle = RegistryHandle::new(sender, watch::channel(String::new()).1);
        let api = Api { handle, tokens: Tokens::new(&["*=long-secret".to_owned()]) };
        let service = TowerToHyperService::new(router(api, 1000));
        *response_status.borrow_mut() = service.call(request).await.expect("an answer").status().as_u16();
    });
    (*status.borrow(), recorded.take())
}

#[test_case("PUT", "/v1/configuration", r#"{"gadgets":{}}"#, 422; "a kind that this release doesn't know")]
#[test_case("PUT", "/v1/configuration", "[]", 400; "not an object")]
#[test_case("PATCH", "/v1/configuration", "{", 400; "a truncated patch")]
#[test_case("PATCH", "/v1/configuration", r#"{"unset":[]}"#, 422; "a patch with an unknown field")]
#[test_case("PATCH", "/v1/configuration", r#"{"set":[]}"#, 422; "a list to set")]
#[test_case("PATCH", "/v1/configuration", r#"{"remove":{}}"#, 422; "an object to remove")]
#[test_case("PUT", "/v1/bounds/t/n", "no JSON", 400; "a resource that is not JSON")]
fn a_change_that_cannot_be_parsed_is_recorded_as_invalid(method: &str, path: &str, body: &str, status: u16) {
    let (response_status, recorded) = send(200, method, path, TOKEN, body);
    assert_eq!((response_status, recorded.len()), (status, 1), "{recorded:?}");
    assert_eq!(
        send(200, method, path, "Bearer other-secret", body),
        (401, Vec::new()),
        "an unauthenticated change is not recorded"
    );
}

#[test_case(422, true; "invalid")]
#[test_case(409, true; "a route that another tenant has")]
#[test_case(403, true; "a resource of another tenant")]
#[test_case(412, false; "another change came first")]
#[test_case(503, false; "nothing was changed")]
#[test_case(200, false; "in force")]
fn a_change_that_the_core_refuses_as_invalid_is_recorded_with_its_faults(status: u16, is_recorded: bool) {
    let (response_status, recorded) = send(status, "PUT", "/v1/bounds/t/n", TOKEN, "{}");
    assert_eq!((response_status, recorded.len()), (status, usize::from(is_recorded)));
    assert!(recorded.iter().all(|fault| fault.contains(r#""fault":"odd""#)), "{recorded:?}");
    let dry = send(status, "PUT", "/v1/bounds/t/n?dry-run=true", TOKEN, "{}");
    assert_eq!(dry, (status, Vec::new()), "a refused dry run is not recorded");
}
