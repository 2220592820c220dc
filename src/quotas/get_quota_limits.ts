import type { Organisation } from "../organisations/organisation.ts";
import type { QuotaBounds } from "./quota_bounds.ts";
import type { QuotaLimits } from "./quota_limits.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";

const millisecondsPerSecond = 1_000;
/**
 * Nodes that may grant at the reduced rate at the same time: two views name an
 * owner and a deputy each, of which one is the established owner.
 */
const reducedGranters = 3;
/** Share of the excess that enlarges the burst; the reduced granters have the rest. */
const burstShare = 0.25;
const reducedShare = 1 - burstShare;
/** Time in which an unused reduced bucket fills. */
const reducedFillSeconds = 1;
/** Without one whole token no call could ever run. */
const capacityCallsMinimum = 1;

/**
 * Divides the calls that an organisation may run in a window. The established
 * owner's bucket, tokens granted shortly before the window and the reduced
 * granters together stay within the bound (docs/design/quotas.md).
 */
export function getQuotaLimits(
  organisation: Organisation,
  bounds: QuotaBounds,
): QuotaLimits {
  const { callsPerSecond, burstCalls } = organisation;
  const windowSeconds = bounds.windowMilliseconds / millisecondsPerSecond;
  const lifetimeSeconds = tokenLifetimeMilliseconds / millisecondsPerSecond;
  const quotaCalls = callsPerSecond * windowSeconds + burstCalls;
  const callsMaximum = quotaCalls * (1 + bounds.excessRatio) +
    bounds.slackCalls;
  const excessCalls = Math.max(
    0,
    callsMaximum - quotaCalls - callsPerSecond * lifetimeSeconds,
  );
  const capacityCalls = Math.max(
    capacityCallsMinimum,
    burstCalls + excessCalls * burstShare,
  );
  const reducedCalls = excessCalls * reducedShare / reducedGranters;
  const reducedCallsPerSecond = Math.min(
    callsPerSecond,
    reducedCalls / (reducedFillSeconds + windowSeconds + lifetimeSeconds),
  );
  return {
    // Less than the rate if the excess does not cover the lifetime of tokens.
    callsPerSecond: Math.min(
      callsPerSecond,
      Math.max(0, callsMaximum - capacityCalls - excessCalls * reducedShare) /
        (windowSeconds + lifetimeSeconds),
    ),
    capacityCalls,
    reducedCallsPerSecond,
    reducedCapacityCalls: reducedCallsPerSecond * reducedFillSeconds,
  };
}
