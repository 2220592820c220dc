import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";
import { callerServiceSchema } from "./caller_service_schema.ts";

const callsMaximum = 200_000;
const secondsMaximum = 600;

/** Settings of the caller; the load is bounded in count and in time. */
export const callerSettingsSchema = z.strictObject({
  /** The callers' listeners of the nodes. */
  nodes: z.array(addressSchema).min(1),
  seed: z.int().default(1),
  callsPerSecond: z.number().positive(),
  durationMilliseconds: z.number().positive().max(secondsMaximum * 1000),
  callsMaximum: z.int().positive().max(callsMaximum).default(callsMaximum),
  /** Calls beyond this number of unanswered ones are not sent, and are counted as `held`. */
  runningMaximum: z.int().positive().default(1000),
  services: z.array(callerServiceSchema).min(1),
  /** Share of the calls whose caller hangs up early. */
  abandonShare: z.number().min(0).max(1).default(0.5),
  /** When it hangs up, after the call was sent: a number between the two. */
  abandonMilliseconds: z.tuple([z.number(), z.number()]).default([1, 40]),
  /** Share of the keyed calls that are repeated, through another node. */
  repeatShare: z.number().min(0).max(1).default(0.3),
  /** When the repeat is sent, after the call before it ended: a number between the two. */
  repeatMilliseconds: z.tuple([z.number(), z.number()]).default([0, 200]),
  attemptsMaximum: z.int().min(1).default(3),
  /** The span from which each call's `Request-Deadline` is set. */
  deadlineMilliseconds: z.number().positive().default(3000),
});
