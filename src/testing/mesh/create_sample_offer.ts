import type { GateOffer } from "../../mesh/gate_offer.ts";

const remainingMilliseconds = 3_000;

/** Creates the offer of a call to the first backend server of a fleet. `now` is in milliseconds since the Unix epoch. */
export function createSampleOffer(
  callIdentifier: string,
  { now }: { readonly now: number },
): GateOffer {
  const deadline = now + remainingMilliseconds;
  return {
    callIdentifier,
    offerIdentifier: callIdentifier,
    service: "vitrine",
    identifier: "server-0",
    callerService: "vitrine",
    organisation: undefined,
    route: "cakes",
    idempotent: true,
    priority: 2,
    deadline,
    goalDeadline: deadline,
    waitDeadline: deadline,
    mayComeBack: true,
    shareKey: "vitrine",
    isNested: false,
    callsPerSecondLimit: undefined,
  };
}
