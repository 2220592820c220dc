import type { ForwardedCall } from "./forwarded_call.ts";
import { ForwardedHeader } from "./forwarded_header.ts";

/** Returns the headers of the request that forwards a call, as alternating names and values. */
export function encodeForwardedCall(call: ForwardedCall): string[] {
  const forwarded = call.headers.map((text, index) =>
    index % 2 === 0 && isHost(text) ? ForwardedHeader.Host : text
  );
  const { key } = call;
  return [
    ...forwarded,
    ForwardedHeader.CallIdentifier,
    call.callIdentifier,
    ForwardedHeader.Attempt,
    String(call.attempt),
    ForwardedHeader.BackendServer,
    call.backendServer,
    ForwardedHeader.Method,
    call.method,
    ForwardedHeader.Path,
    call.path,
    ForwardedHeader.Deadline,
    String(call.deadline),
    ForwardedHeader.Priority,
    call.priority,
    ForwardedHeader.Idempotent,
    String(call.idempotent),
    ...encodeOptional(ForwardedHeader.Key, key?.value),
    ...encodeOptional(ForwardedHeader.CallerAttempt, key?.callerAttempt),
    ...encodeOptional(ForwardedHeader.FirstAttempt, key?.firstAttemptAt),
  ];
}

function isHost(name: string): boolean {
  return name.length === "host".length && name.toLowerCase() === "host";
}

function encodeOptional(
  name: ForwardedHeader,
  value: string | number | undefined,
): string[] {
  return value === undefined ? [] : [name, String(value)];
}
