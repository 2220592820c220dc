import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";
import { callerServiceSchema } from "./caller_service_schema.ts";

const callsMaximum = 200_000;
const secondsMaximum = 600;

/** The schema of the caller's settings; the load is bounded in calls and in duration. */
export const callerSettingsSchema = z.strictObject({
  /** Addresses on which the nodes listen for callers. */
  nodes: z.array(addressSchema).min(1),
  seed: z.int().default(1),
  callsPerSecond: z.number().positive(),
  durationMilliseconds: z.number().positive().max(secondsMaximum * 1000),
  callsMaximum: z.int().positive().max(callsMaximum).default(callsMaximum),
  /** Maximum number of calls that run at once; further ones are not sent and are counted as `held`. */
  runningMaximum: z.int().positive().default(1000),
  services: z.array(callerServiceSchema).min(1),
  /** Share of the calls that their caller abandons early. */
  abandonShare: z.number().min(0).max(1).default(0.5),
  /** Minimum and maximum time from sending a call to abandoning it. */
  abandonMilliseconds: z.tuple([z.number(), z.number()]).default([1, 40]),
  /** Share of the attempts with an idempotency key that are repeated through another node. */
  repeatShare: z.number().min(0).max(1).default(0.3),
  /** Minimum and maximum time from the end of an attempt to the next one. */
  repeatMilliseconds: z.tuple([z.number(), z.number()]).default([0, 200]),
  attemptsMaximum: z.int().min(1).default(3),
  /** Time from sending an attempt to its `Request-Deadline`. */
  deadlineMilliseconds: z.number().positive().default(3000),
});
