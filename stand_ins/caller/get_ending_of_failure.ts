import { CallEnding } from "./call_ending.ts";

const notConnectedCodes = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Tells a call that was never sent from one that was cut. */
export function getEndingOfFailure(error: unknown): CallEnding {
  const code = error instanceof Error && "code" in error ? error.code : "";
  return notConnectedCodes.includes(String(code))
    ? CallEnding.Unreachable
    : CallEnding.Cut;
}
