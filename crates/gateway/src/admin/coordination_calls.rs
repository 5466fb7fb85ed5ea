//! Operators' calls about what the fronts settle among themselves.
use async_io::Timer;
use cluster_types::{BackendId, MemberId};
use coordination::{Call, Handle, ToAccord, Told};
use futures_lite::future;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Where these calls are.
pub const FOLDER: &str = "/v1/accord";
/// A caller is answered within this time, whatever the hosts do.
const TIMEOUT: Duration = Duration::from_millis(1_700);

/// The answer to a call under the folder.
pub async fn answer(handle: Option<&Handle>, method: &str, target: &str) -> Vec<u8> {
    let Some(handle) = handle else {
        return http::response(404, "Not Found", "accord: not in the configuration\n");
    };
    let call = match read(method, target) {
        Ok(call) => call,
        Err((405, why)) => return http::response(405, "Method Not Allowed", &why),
        Err((404, why)) => return http::response(404, "Not Found", &why),
        Err((_, why)) => return http::response(400, "Bad Request", &why),
    };
    let (to, from) = async_channel::bounded(1);
    if !handle.tell(ToAccord::Call(call, to)) {
        return http::response(503, "Service Unavailable", "too many calls wait\n");
    }
    let late = async {
        Timer::after(TIMEOUT).await;
        Told::Late("no answer in time: ask again under the same name\n".into())
    };
    match future::or(async { from.recv().await.unwrap_or(Told::Late("the front ends\n".into())) }, late).await
    {
        Told::Yes(text) => http::response(200, "OK", &text),
        Told::Unknown(text) => http::response(404, "Not Found", &text),
        Told::No(text) => http::response(409, "Conflict", &text),
        Told::Late(text) => http::response(503, "Service Unavailable", &text),
    }
}

type Bad = (u16, String);

fn bad<T>(why: impl Into<String>) -> Result<T, Bad> {
    Err((400, format!("{}\n", why.into())))
}

/// What a call asks for: `/v1/accord`, `/v1/accord/wishes/NAME[/withdraw|/done|/returned]`, `/v1/accord/members/NAME/excuse`.
fn read(method: &str, target: &str) -> Result<Call, Bad> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let words: Vec<String> = path.split('/').skip(3).map(http::percent_decode).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let query: BTreeMap<String, String> = form_urlencoded::parse(query.as_bytes()).into_owned().collect();
    let get = method == "GET";
    let call = match words.as_slice() {
        [] | [""] if get => Call::Status,
        ["wishes", name] if get => Call::Ask { name: name.to_string() },
        ["wishes", name] if method == "POST" => wish(name, &query)?,
        ["wishes", name, "withdraw"] if method == "POST" => Call::Withdraw { name: name.to_string() },
        ["wishes", name, "done"] if method == "POST" => Call::Done { name: name.to_string() },
        ["wishes", name, "returned"] if method == "POST" => match query.get("box") {
            Some(id) => Call::Returned { name: name.to_string(), id: BackendId(id.as_str().into()) },
            None => return bad("box: which one is back?"),
        },
        ["members", name, "excuse"] if method == "POST" => Call::Excuse { member: MemberId((*name).into()) },
        []
        | [""]
        | ["wishes", _]
        | ["wishes", _, "withdraw" | "done" | "returned"]
        | ["members", _, "excuse"] => return Err((405, "GET the state, POST what changes it\n".into())),
        _ => {
            let what = "/v1/accord, /v1/accord/wishes/NAME with /withdraw, /done or /returned, /v1/accord/members/NAME/excuse\n";
            return Err((404, what.into()));
        }
    };
    Ok(call)
}

fn wish(name: &str, query: &BTreeMap<String, String>) -> Result<Call, Bad> {
    const KEYS: [&str; 4] = ["boxes", "work_s", "by_s", "together"];
    if let Some(key) = query.keys().find(|k| !KEYS.contains(&k.as_str())) {
        return bad(format!("{key}: unknown; a wish has boxes, work_s, by_s and together"));
    }
    let boxes: BTreeSet<BackendId> = query
        .get("boxes")
        .map(|t| t.split(',').filter(|b| !b.is_empty()).map(BackendId::from).collect())
        .unwrap_or_default();
    if boxes.is_empty() {
        return bad("boxes: which ones? boxes=ID,ID");
    }
    let seconds = |key: &str| -> Result<Option<u64>, Bad> {
        match query.get(key).map(|t| t.parse::<f64>()) {
            None => Ok(None),
            Some(Ok(s)) if (0.001..=31_536_000.0).contains(&s) => Ok(Some((s * 1000.0) as u64)),
            Some(_) => bad(format!("{key}: must be seconds, up to a year")),
        }
    };
    let Some(work_ms) = seconds("work_s")? else { return bad("work_s: for how long may each be out?") };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    // By the minute: a wish that is said again under its name must be the same wish.
    let by_ms = seconds("by_s")?.map(|ms| (unix + ms).div_ceil(60_000) * 60_000);
    let together = match query.get("together").map(String::as_str) {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return bad("together: must be 0 or 1"),
    };
    Ok(Call::Wish { name: name.into(), boxes, work_ms, by_ms, together })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_understood_or_refused_in_plain_words() {
        let wish = read("POST", "/v1/accord/wishes/shelf%204?boxes=box-04,box-05&work_s=90&together=1");
        let boxes = ["box-04".into(), "box-05".into()].into();
        let want = Call::Wish { name: "shelf 4".into(), boxes, work_ms: 90_000, by_ms: None, together: true };
        assert_eq!(wish, Ok(want));
        assert_eq!(read("GET", "/v1/accord"), Ok(Call::Status));
        assert_eq!(read("POST", "/v1/accord").unwrap_err().0, 405);
        assert_eq!(read("GET", "/v1/accord/other").unwrap_err().0, 404);
        for (query, key) in [
            ("", "boxes"),
            ("boxes=a", "work_s"),
            ("boxes=a&work_s=x", "work_s"),
            ("boxes=a&work_s=1&together=yes", "together"),
            ("boxes=a&work_s=1&until=5", "until"),
        ] {
            let (code, why) = read("POST", &format!("/v1/accord/wishes/w?{query}")).unwrap_err();
            assert!(code == 400 && why.starts_with(key), "{query}: {code} {why}");
        }
    }
}
