import * as z from "zod";
import { tryParseAddress } from "../runtime/try_parse_address.ts";

const addressAllowed =
  'an address such as "127.0.0.1:7001", with an IP address and a port';
const nameAllowed =
  "a name of 1 to 100 letters, digits, dots, hyphens or underscores";
const namePattern = /^[A-Za-z0-9._-]{1,100}$/;

const address = z.string({ error: addressAllowed }).transform(
  (text, context) => {
    const parsed = tryParseAddress(text);
    if (parsed === undefined) {
      context.addIssue({ code: "custom", message: addressAllowed });
      return z.NEVER;
    }
    return parsed;
  },
);

const name = z.string({ error: nameAllowed }).regex(namePattern, {
  error: nameAllowed,
});

function wholeNumber(
  range: { readonly minimum: number; readonly maximum: number },
) {
  const error = `a whole number from ${range.minimum} to ${range.maximum}`;
  return z.number({ error }).int({ error }).min(range.minimum, { error }).max(
    range.maximum,
    { error },
  );
}

function strictObject<Shape extends z.core.$ZodLooseShape>(shape: Shape) {
  const fields = Object.keys(shape).join(", ");
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? fields
        : `an object with the fields ${fields}`,
  });
}

const limits = strictObject({
  requestBodyBytes: wholeNumber({ minimum: 0, maximum: 67_108_864 }).default(
    1_048_576,
  ),
  requestHeaderBytes: wholeNumber({ minimum: 1_024, maximum: 262_144 }).default(
    16_384,
  ),
  bufferedAnswerBytes: wholeNumber({ minimum: 0, maximum: 16_777_216 }).default(
    262_144,
  ),
  configurationBytes: wholeNumber({ minimum: 1_024, maximum: 1_048_576 })
    .default(1_048_576),
  queuedCalls: wholeNumber({ minimum: 0, maximum: 10_000 }).default(24),
});

const timing = strictObject({
  drainMilliseconds: wholeNumber({ minimum: 0, maximum: 3_600_000 }).default(
    30_000,
  ),
  probeIntervalMilliseconds: wholeNumber({ minimum: 50, maximum: 60_000 })
    .default(1_000),
  exchangeIntervalMilliseconds: wholeNumber({ minimum: 50, maximum: 60_000 })
    .default(1_000),
  startupQuestionMilliseconds: wholeNumber({ minimum: 50, maximum: 60_000 })
    .default(2_000),
  pauseThresholdMilliseconds: wholeNumber({ minimum: 100, maximum: 60_000 })
    .default(1_000),
  keyLifetimeMilliseconds: wholeNumber({ minimum: 1_000, maximum: 86_400_000 })
    .default(600_000),
  clockSkewMilliseconds: wholeNumber({ minimum: 0, maximum: 60_000 }).default(
    2_000,
  ),
});

/** Schema of the settings file of one node. The message of an issue states the values that the field allows. */
export const nodeSettingsSchema = strictObject({
  vm: name,
  zone: name,
  listeners: strictObject({
    callers: address,
    nodes: address,
    operators: address,
  }),
  backendServer: strictObject({ name, address }).nullable(),
  platform: address,
  seedPeers: z.array(address, {
    error: `a list, each member ${addressAllowed}`,
  })
    .default([]),
  limits: limits.prefault({}),
  timing: timing.prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"], {
    error: '"debug", "info", "warn", "error" or "silent"',
  }).default("info"),
});
