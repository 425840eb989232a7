//! Which response belongs to which call, and how the calls are settled whose responses may be copies of earlier ones. The clock is
//! set by hand.

use cedarbridge::invariants::confirmation::{Settled, Settlement, Unconfirmed, UnconfirmedQueue};
use cedarbridge::invariants::{
    attribute, Attribution, CallResponses, EarlierResponses, NamedMessages, ResponseDigest, ResponseFacts,
    ResponseHistory, ResponseIdentity,
};
use cedarbridge::Micros;
use Settlement::{Confirmed, Corrected, MayHaveRun, Unsettled};

const TIMES_OUT_AT: Micros = 100;
const REPORT_AT: Micros = 1000;

/// An unconfirmed call, named by its place on the connection.
struct TestCall {
    responses: CallResponses,
    report_at: Micros,
}

impl TestCall {
    fn new(responses: CallResponses) -> Self {
        TestCall { responses, report_at: REPORT_AT }
    }
}

impl Unconfirmed for TestCall {
    fn responses(&self) -> &CallResponses {
        &self.responses
    }

    fn is_batch(&self) -> bool {
        false
    }

    fn times_out_at(&self) -> Micros {
        TIMES_OUT_AT
    }

    fn report_at(&self) -> Micros {
        self.report_at
    }
}

fn response(status: u16, content: &str) -> ResponseFacts {
    let identity = ResponseIdentity::Complete(ResponseDigest::of(&(status, content)));
    ResponseFacts { status, identity, named_messages: NamedMessages::Unspecified }
}

/// What a connection has carried that got one of these responses to each of its calls.
fn after(responses: &[ResponseFacts]) -> EarlierResponses {
    let mut history = ResponseHistory::default();
    for earlier in responses {
        let ResponseIdentity::Complete(digest) = earlier.identity else { panic!("a complete response") };
        history.record_head(earlier.status, digest);
        history.record_complete(digest);
    }
    EarlierResponses { history, calls: responses.len() }
}

/// A queue with a call for each of these responses, which all came on one connection behind a first 200.
fn queue(responses: &[ResponseFacts]) -> UnconfirmedQueue<TestCall> {
    let mut queue = UnconfirmedQueue::default();
    let mut before = vec![response(200, "")];
    for response in responses {
        let mut call = CallResponses::new(after(&before));
        call.push(*response);
        queue.push(TestCall::new(call));
        before.push(*response);
    }
    queue
}

fn settlements(settled: Vec<Settled<TestCall>>) -> Vec<(usize, Settlement)> {
    settled.into_iter().map(|settled| (settled.call.responses.call_position(), settled.settlement)).collect()
}

#[test]
fn only_a_response_that_differs_from_all_earlier_ones_is_certainly_that_of_the_call() {
    let (delivered, refused) = (response(200, ""), response(503, ""));
    let used = after(&[delivered]);
    assert_eq!(attribute(&after(&[]), &[delivered]), Attribution::Proven(0));
    assert_eq!(attribute(&used, &[delivered]), Attribution::Probable(0));
    assert_eq!(attribute(&used, &[refused]), Attribution::Proven(0));
    assert_eq!(attribute(&used, &[response(200, "other")]), Attribution::Proven(0));
    assert_eq!(attribute(&used, &[delivered, refused]), Attribution::Proven(1), "the first is the copy");
    assert_eq!(attribute(&used, &[delivered, delivered]), Attribution::Probable(0));
    let both = after(&[delivered, refused]);
    assert_eq!(attribute(&both, &[refused, delivered]), Attribution::Contradictory);
    let status_only = ResponseFacts { identity: ResponseIdentity::Status(200), ..delivered };
    assert_eq!(attribute(&used, &[status_only]), Attribution::Probable(0));
}

/// Guards against a response that is read as that of the call in flight although an earlier call is still due one.
#[test]
fn behind_an_unconfirmed_call_only_the_name_of_a_message_proves_a_response() {
    let delivered = response(200, "");
    let used = after(&[delivered, delivered]);
    assert_eq!(attribute(&used, &[response(503, "")]), Attribution::Probable(0));
    let named = ResponseFacts { named_messages: NamedMessages::Unprecedented, ..response(200, "m2 refused") };
    assert_eq!(attribute(&used, &[named]), Attribution::Proven(0));
    let others = ResponseFacts { named_messages: NamedMessages::Others, ..response(200, "m1 delivered") };
    assert_eq!(attribute(&used, &[others]), Attribution::Undecided);
    assert_eq!(attribute(&used, &[others, named]), Attribution::Proven(1));
}

/// Guards against a message that is held for delivered by a copy because the time of its call is over.
#[test]
fn the_time_of_a_call_ends_its_message_and_confirms_nothing() {
    let mut queue = queue(&[response(200, "")]);
    assert_eq!(queue.next_change_at(), Some(TIMES_OUT_AT));
    assert!(queue.settle_due(TIMES_OUT_AT).is_empty());
    assert_eq!(queue.end_timed_out(TIMES_OUT_AT).len(), 1);
    assert_eq!(queue.end_timed_out(TIMES_OUT_AT).len(), 0, "it ends once");
    assert_eq!(queue.next_change_at(), Some(REPORT_AT));
    assert!(queue.settle_due(REPORT_AT - 1).is_empty());
    assert_eq!(settlements(queue.settle_due(REPORT_AT)), [(2, Unsettled)]);
}

/// Guards against a further call for a message whose end was read, because the connection ends or is given up.
#[test]
fn the_end_of_the_connection_reports_what_may_have_ended_and_no_call_follows() {
    let ended = [response(200, ""), response(410, ""), response(200, "")];
    assert_eq!(settlements(queue(&ended).settle_all()), [(2, Unsettled), (3, Unsettled), (4, Unsettled)]);
    assert_eq!(settlements(queue(&[response(503, "")]).settle_all()), [(2, MayHaveRun)]);
}

/// Guards against a refusal that ends a call before as delivered although it may be the response to that call.
#[test]
fn behind_a_refusal_no_call_is_confirmed() {
    let mut queue = queue(&[response(200, "")]);
    let mut refused = CallResponses::new(after(&[response(200, ""), response(200, "")]));
    refused.push(response(503, ""));
    assert_eq!(settlements(queue.push(TestCall::new(refused))), [(2, Unsettled)]);
    assert_eq!(settlements(queue.settle_due(TIMES_OUT_AT)), [(3, MayHaveRun)]);
}

/// Guards against call after call for a message shortly before its deadline, because each refusal counted as out of time at once.
#[test]
fn a_refusal_near_the_deadline_of_its_message_keeps_the_time_of_its_call() {
    let late = |status: u16| {
        let mut call = CallResponses::new(after(&[response(status, "")]));
        call.push(response(status, ""));
        let mut queue = UnconfirmedQueue::default();
        queue.push(TestCall { responses: call, report_at: TIMES_OUT_AT / 2 });
        queue
    };
    assert_eq!(late(504).next_change_at(), Some(TIMES_OUT_AT));
    assert!(late(504).settle_due(TIMES_OUT_AT - 1).is_empty());
    assert_eq!(late(504).settle_due(TIMES_OUT_AT)[0].settlement, MayHaveRun);
    assert_eq!(late(410).next_change_at(), Some(TIMES_OUT_AT / 2));
    assert_eq!(late(410).settle_due(TIMES_OUT_AT / 2)[0].settlement, Unsettled);
}

#[test]
fn as_many_calls_are_confirmed_as_different_responses_have_arrived() {
    let mut queue = queue(&[response(200, ""), response(200, "b"), response(200, "")]);
    assert_eq!(settlements(queue.confirm_answered(2)), [(2, Confirmed)]);
    assert_eq!(settlements(queue.confirm_all()), [(3, Confirmed), (4, Confirmed)]);
}

/// Guards against a further call for a delivered message: a refusal of the call behind it was taken for its own response, as that
/// call had been reported at the end of its message.
#[test]
fn a_surplus_response_behind_a_call_that_was_settled_corrects_no_call_before_it() {
    let mut queue = queue(&[response(200, "")]);
    let mut short = CallResponses::new(after(&[response(200, ""), response(200, "")]));
    short.push(response(200, ""));
    queue.push(TestCall { responses: short, report_at: TIMES_OUT_AT / 2 });
    assert_eq!(settlements(queue.settle_due(TIMES_OUT_AT / 2)), [(3, Unsettled)]);
    assert!(queue.only_call_mut().is_none());
    assert_eq!(settlements(queue.settle_by_surplus(false, 2)), [(2, Unsettled)]);
}

/// Guards against a message that is not sent again although a surplus response proves that its end was a copy, and against one
/// that is sent again once it has ended.
#[test]
fn a_surplus_response_that_is_no_copy_corrects_the_only_call() {
    let surplus = |status: u16, is_over: bool| {
        let mut queue = queue(&[response(200, "")]);
        if is_over {
            queue.end_timed_out(TIMES_OUT_AT);
        }
        queue.only_call_mut().expect("one call").responses.push(response(status, ""));
        // Only the first 200 is certainly no copy, until something else arrives.
        let answered_calls = if status == 200 { 1 } else { 2 };
        settlements(queue.settle_by_surplus(matches!(status, 200 | 410), answered_calls))
    };
    assert_eq!(surplus(503, false), [(2, Corrected(1))]);
    assert_eq!(surplus(503, true), [(2, Unsettled)]);
    assert_eq!(surplus(410, true), [(2, Corrected(1))]);
    assert_eq!(surplus(200, false), [], "both may be copies");
}
