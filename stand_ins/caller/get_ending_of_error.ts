import { CallEnding } from "./call_ending.ts";

const connectionErrorCodes = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Returns `Unreachable` for an error that occurred before anything was sent, and `Cut` for any other. */
export function getEndingOfError(error: unknown): CallEnding {
  const code = error instanceof Error && "code" in error ? error.code : "";
  return connectionErrorCodes.includes(String(code))
    ? CallEnding.Unreachable
    : CallEnding.Cut;
}
