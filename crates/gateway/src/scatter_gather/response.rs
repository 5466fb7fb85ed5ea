//! How gathered answers are worded to RESP2 clients: whole as one bulk string, in part as an array of what came and a text
//! that names what is missing, and a failure as an error with its reason.
use crate::backend::value;
use crate::client::response::{encode, EncodedResponse};
use dispatch::Bytes;
use scatter_gather::{Answer, Gathered, Held};
use scheduler::interface::Micros;

/// The one answer's words. Values keep their place in the bound on memory until they are written.
pub fn reply(answer: Answer<Bytes>) -> EncodedResponse {
    match answer {
        Answer::Gathered(gathered) => joined(gathered),
        Answer::Failed(failure) if failure.turned_away() => {
            let micros = |h: std::time::Duration| Micros(i64::try_from(h.as_micros()).unwrap_or(i64::MAX));
            encode(value::Answer::Rejected(failure.hint.map(micros)))
        }
        failed => EncodedResponse::bytes(format!("-ERR {}\r\n", failed.told().text())),
    }
}

fn joined(gathered: Gathered<Bytes>) -> EncodedResponse {
    let told = (!gathered.whole()).then(|| gathered.told().text());
    let (values, held): (Vec<Bytes>, Vec<Held>) = gathered.into_values().into_iter().flatten().unzip();
    let length: usize = values.iter().map(|v| v.len()).sum();
    let head = match told {
        None => format!("${length}\r\n"),
        Some(_) => format!("*2\r\n${length}\r\n"),
    };
    let tail = match told {
        None => "\r\n".to_string(),
        Some(text) => format!("\r\n${}\r\n{text}\r\n", text.len()),
    };
    let mut pieces = Vec::with_capacity(values.len() + 2);
    pieces.push(Bytes::from(head.as_bytes()));
    pieces.extend(values);
    pieces.push(Bytes::from(tail.as_bytes()));
    EncodedResponse::Pieces(pieces, held)
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_types::Time;
    use scatter_gather::{Budget, Ended, Event, Gathers, Halls, Rules};

    /// What a client is sent where these two parts end so, and the budget.
    fn told(ends: [Ended<Bytes>; 2]) -> (EncodedResponse, Budget) {
        let part = |n: u32| {
            format!("[[gather.part]]\nname = \"p{n}\"\nhall = \"hall-a\"\npiece = \"{n:016x}\"\nshard = 0\n")
        };
        let table = "[[gather]]\nname = \"g\"\nvolume = \"0000000000000001\"\npiece = \"00000000000000ff\"\n\
             class = \"stock-read\"\nsuffices = { at_least = 1 }\n";
        let file = include_str!("../../tests/common/config.toml").replace("@IP@", "127.0.0.1");
        let config = config::read("x.toml", &(file + table + &part(0) + &part(1))).unwrap();
        let (now, mut out, budget) = (Time(1_000_000), Vec::new(), Budget::new(1 << 20));
        let mut gathers = Gathers::new(4, Halls::new(None, Rules::default()), budget.clone());
        let id = gathers.begin(now, config.gather_policies[0].clone(), Time(2_000_000), &mut out).unwrap();
        for (part, result) in ends.into_iter().enumerate() {
            gathers.handle(now, id, Event::Ended { part, result }, &mut out);
        }
        let answer = out.into_iter().find_map(|(_, action)| match action {
            scatter_gather::Action::Answer(answer) => Some(answer),
            _ => None,
        });
        (reply(answer.unwrap()), budget)
    }

    fn served(text: &str) -> Ended<Bytes> {
        Ended::Served(text.as_bytes().into())
    }

    fn bytes(reply: &EncodedResponse) -> String {
        let mut all = Vec::new();
        while !reply.remaining(all.len()).is_empty() {
            all.push(reply.remaining(all.len())[0]);
        }
        String::from_utf8(all).unwrap()
    }

    #[test]
    fn what_came_is_joined_and_holds_its_place_in_the_bound_until_it_is_written() {
        let (whole, budget) = told([served("abc"), served("de")]);
        assert_eq!((bytes(&whole).as_str(), budget.held()), ("$5\r\nabcde\r\n", 5));
        drop(whole);
        assert_eq!(budget.held(), 0);
        let (nothing, _) = told([served(""), served("")]);
        assert_eq!(bytes(&nothing), "$0\r\n\r\n");
        let (in_part, budget) = told([Ended::Refused(None), served("de")]);
        let text = "part missing=hall-a/p0:refused";
        assert_eq!(bytes(&in_part), format!("*2\r\n$2\r\nde\r\n${}\r\n{text}\r\n", text.len()));
        drop(in_part);
        assert_eq!(budget.held(), 0);
    }

    #[test]
    fn a_failure_says_why_and_one_that_was_only_turned_away_says_when_to_come_again() {
        let hint = Ended::Refused(Some(std::time::Duration::from_micros(30_001)));
        assert_eq!(bytes(&told([hint.clone(), hint.clone()]).0), "-BUSY 31\r\n");
        let failed = Ended::Failed { reason: "no answer in time".into(), reached: false };
        let said = bytes(&told([hint, failed]).0);
        let missing = "hall-a/p0:refused,hall-a/p1:failed(no%20answer%20in%20time)";
        assert_eq!(said, format!("-ERR failed cause=too-few missing={missing}\r\n"));
    }
}
