import { z } from "zod";
import { QuotaMessageKind } from "./quota_message_kind.ts";

/** The longest name of an organisation or a host. */
const nameLengthMaximum = 2_048;
/** Bounds what one message can take out of a bucket. */
const callsMaximum = 10_000;

const common = {
  /** Name of the organisation. */
  organisation: z.string().min(1).max(nameLengthMaximum),
  /** Host of the sender. */
  host: z.string().min(1).max(nameLengthMaximum),
};
const calls = z.number().int().min(0).max(callsMaximum);

/** Messages between nodes about quotas. */
export const quotaMessageSchema = z.discriminatedUnion("kind", [
  z.object({
    ...common,
    kind: z.literal(QuotaMessageKind.Tokens),
    waitingCalls: calls,
    expectedCalls: calls,
  }),
  z.object({ ...common, kind: z.literal(QuotaMessageKind.Lease) }),
  z.object({ ...common, kind: z.literal(QuotaMessageKind.Release) }),
]);
