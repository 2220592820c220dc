import type { CallPlan } from "../../mesh/call_plan.ts";
import { CallKind } from "../../routing/call_kind.ts";

const timeoutMilliseconds = 1_200;
const goalMilliseconds = 400;

/** Creates the plan of a call that was received at `now` and has its whole time left. */
export function createSamplePlan(
  now: number,
  change: Partial<CallPlan> = {},
): CallPlan {
  return {
    callIdentifier: "a",
    request: { method: "GET", url: "/", headers: [], body: Buffer.alloc(0) },
    route: {
      name: "cakes",
      host: "shop.example",
      pathPrefix: "/",
      kind: CallKind.Idempotent,
      attemptsMaximum: 2,
      timeoutMilliseconds,
      goalMilliseconds,
      priority: 2,
      targets: [],
    },
    service: "vitrine",
    rulesVersion: 1,
    receivedAt: now,
    deadline: now + timeoutMilliseconds,
    goalDeadline: now + goalMilliseconds,
    mayComeBack: true,
    signal: new AbortController().signal,
    ...change,
  };
}
