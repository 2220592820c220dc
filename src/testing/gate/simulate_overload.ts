import { createGateState } from "../../gate/create_gate_state.ts";
import { releaseSlot } from "../../gate/release_slot.ts";
import { ServerCondition } from "../../gate/server_condition.ts";
import { SlotDecisionKind } from "../../gate/slot_decision_kind.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";
import type { OverloadResult } from "./overload_result.ts";

const slots = 12;
const goalMilliseconds = 400;
const deadlineMilliseconds = 2_500;
const callerAttemptsMaximum = 3;
const meanServiceMilliseconds = 160;
/** Standard deviation of the logarithm of the service time. */
const serviceTimeLogDeviation = 0.7;
/** Time that an answer takes in addition to the service time, for calls of the backend server and the network between nodes. */
const overheadMilliseconds = 30;
/** How long a call that misses its goal anyway may wait for a slot. */
const lateCallWaitMilliseconds = 100;
/** Upper bound of the random extension of a retry delay, as a fraction of the delay that the refusal states. */
const retryJitter = 0.5;
/** Round-trip time between a caller and its node. */
const callerRoundTripMilliseconds = 6;

interface Caller {
  readonly identifier: string;
  readonly startedAt: number;
  attempts: number;
}

/**
 * Simulates callers that retry after refusals against one gate, in steps of a
 * millisecond, with random arrivals and service times.
 */
export function simulateOverload(
  options: {
    readonly admission: AdmissionPolicy;
    readonly seed: number;
    readonly callersPerSecond: number;
    readonly seconds: number;
  },
): OverloadResult {
  const { admission } = options;
  const random = createRandomSource(options.seed);
  const gate = createGateState(0);
  gate.slots = slots;
  gate.condition = ServerCondition.Up;
  const callers = new Map<string, Caller>();
  const requestSchedule = new Map<number, Caller[]>();
  const completionSchedule = new Map<number, Caller[]>();
  const counts = { inTime: 0, late: 0, refused: 0 };
  /** Number of refusals, and the total time that callers waited for them, in milliseconds. */
  const refusals = { count: 0, held: 0 };
  const requestedAt = new Map<string, number>();
  const end = options.seconds * 1_000;

  function schedule(
    callersByInstant: Map<number, Caller[]>,
    at: number,
    caller: Caller,
  ): void {
    const instant = Math.ceil(at);
    callersByInstant.set(instant, [
      ...(callersByInstant.get(instant) ?? []),
      caller,
    ]);
  }

  function startCall(caller: Caller, now: number): void {
    // Log-normal with a mean of 1.
    const serviceTimeFactor = Math.exp(
      serviceTimeLogDeviation * drawStandardNormal() -
        serviceTimeLogDeviation * serviceTimeLogDeviation / 2,
    );
    schedule(
      completionSchedule,
      now + meanServiceMilliseconds * serviceTimeFactor + 1,
      caller,
    );
  }

  /** Draws from the standard normal distribution, with the Box-Muller transform. */
  function drawStandardNormal(): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) *
      Math.cos(2 * Math.PI * random.next());
  }

  function refuse(
    caller: Caller,
    now: number,
    retryMilliseconds: number,
  ): void {
    refusals.count += 1;
    refusals.held += now - (requestedAt.get(caller.identifier) ?? now);
    const deadline = caller.startedAt + deadlineMilliseconds;
    const waitMilliseconds = Math.min(
      retryMilliseconds * (1 + random.next() * retryJitter),
      (deadline - now) / 3,
    );
    if (
      caller.attempts >= callerAttemptsMaximum ||
      now + waitMilliseconds >= deadline
    ) {
      counts.refused += 1;
      return;
    }
    schedule(
      requestSchedule,
      now + waitMilliseconds + callerRoundTripMilliseconds,
      caller,
    );
  }

  function requestAdmission(caller: Caller, now: number): void {
    caller.attempts += 1;
    requestedAt.set(caller.identifier, now);
    const goalDeadline = caller.startedAt + goalMilliseconds;
    const decision = admission.request(gate, {
      offerIdentifier: caller.identifier,
      getFingerprint: () => caller.identifier,
      route: "catalogo",
      priority: 2,
      goalDeadline,
      deadline: caller.startedAt + deadlineMilliseconds,
      waitDeadline: Math.max(
        goalDeadline - gate.serviceMilliseconds - overheadMilliseconds,
        now + lateCallWaitMilliseconds,
      ),
      mayComeBack: true,
      shareKey: "vitrine",
      isNested: false,
    }, { now });
    if (decision.kind === SlotDecisionKind.Granted) startCall(caller, now);
    if (decision.kind === SlotDecisionKind.Refused) {
      refuse(caller, now, decision.retryMilliseconds);
    }
  }

  function completeCall(caller: Caller, now: number): void {
    releaseSlot(gate, {
      offerIdentifier: caller.identifier,
      answered: true,
      now,
    });
    const answeredAt = now + overheadMilliseconds;
    const isInTime = answeredAt <= caller.startedAt + goalMilliseconds;
    if (isInTime) counts.inTime += 1;
    else counts.late += 1;
  }

  for (let now = 1; now < end + deadlineMilliseconds; now += 1) {
    if (now < end && random.next() < options.callersPerSecond / 1_000) {
      const caller = {
        identifier: `caller-${callers.size}`,
        startedAt: now,
        attempts: 0,
      };
      callers.set(caller.identifier, caller);
      schedule(requestSchedule, now, caller);
    }
    completionSchedule.get(now)?.forEach((caller) => completeCall(caller, now));
    requestSchedule.get(now)?.forEach((caller) =>
      requestAdmission(caller, now)
    );
    const { granted, refused, retryMilliseconds } = admission.processQueue(
      gate,
      now,
    );
    granted.forEach(({ request }) =>
      startCall(callers.get(request.offerIdentifier)!, now)
    );
    refused.forEach(({ request }) =>
      refuse(callers.get(request.offerIdentifier)!, now, retryMilliseconds)
    );
  }
  return {
    callers: callers.size,
    ...counts,
    meanRefusalMilliseconds: refusals.count === 0
      ? 0
      : refusals.held / refusals.count,
  };
}
