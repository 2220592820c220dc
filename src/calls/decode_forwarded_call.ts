import { Result } from "true-myth";
import { CallPriority } from "../configuration/call_priority.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { CallKey } from "./call_key.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import { ForwardedHeader } from "./forwarded_header.ts";
import { selectForwardedHeaders } from "./select_forwarded_headers.ts";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const requiredHeaders = [
  ForwardedHeader.CallIdentifier,
  ForwardedHeader.BackendServer,
  ForwardedHeader.Method,
  ForwardedHeader.Path,
] as const;
const wholeNumberHeaders = [
  ForwardedHeader.Attempt,
  ForwardedHeader.Deadline,
] as const;
const wholeNumberPattern = /^[0-9]{1,15}$/;

/**
 * Decodes a forwarded call from the request's headers (`headers` with names in
 * lower case). Fails if a required header is missing or malformed.
 */
export function decodeForwardedCall(
  request: {
    readonly headers: Headers;
    readonly rawHeaders: readonly string[];
    readonly body: Uint8Array | undefined;
  },
): Result<ForwardedCall, Diagnostic> {
  const { headers } = request;
  const missing =
    requiredHeaders.find((name) => typeof headers[name] !== "string") ??
      wholeNumberHeaders.find((name) =>
        !wholeNumberPattern.test(String(headers[name]))
      );
  const priority = Object.values(CallPriority).find((value) =>
    value === headers[ForwardedHeader.Priority]
  );
  if (missing !== undefined || priority === undefined) {
    const path = missing ?? ForwardedHeader.Priority;
    return Result.err(createDiagnostic(DiagnosticCode.CallHeaderInvalid, {
      path,
      found: JSON.stringify(headers[path] ?? null),
      allowed: "present and well formed",
    }));
  }
  return Result.ok({
    callIdentifier: String(headers[ForwardedHeader.CallIdentifier]),
    attempt: Number(headers[ForwardedHeader.Attempt]),
    backendServer: String(headers[ForwardedHeader.BackendServer]),
    method: String(headers[ForwardedHeader.Method]),
    path: String(headers[ForwardedHeader.Path]),
    headers: getCallerHeaders(request),
    body: request.body,
    deadline: Number(headers[ForwardedHeader.Deadline]),
    priority,
    idempotent: headers[ForwardedHeader.Idempotent] === "true",
    key: getKey(headers),
  });
}

function getCallerHeaders(
  request: {
    readonly headers: Headers;
    readonly rawHeaders: readonly string[];
  },
): readonly string[] {
  const forwarded = selectForwardedHeaders(request.rawHeaders).filter(
    (_, index, all) => all[index - index % 2]!.toLowerCase() !== "host",
  );
  const host = request.headers[ForwardedHeader.Host];
  return typeof host === "string" ? ["host", host, ...forwarded] : forwarded;
}

function getKey(headers: Headers): CallKey | undefined {
  const value = headers[ForwardedHeader.Key];
  const idempotent = headers[ForwardedHeader.Idempotent] === "true";
  return typeof value === "string" && !idempotent
    ? {
      value,
      callerAttempt: getNumber(headers, ForwardedHeader.CallerAttempt),
      firstAttemptAt: getNumber(headers, ForwardedHeader.FirstAttempt),
    }
    : undefined;
}

function getNumber(
  headers: Headers,
  name: ForwardedHeader,
): number | undefined {
  const value = headers[name];
  return typeof value === "string" && wholeNumberPattern.test(value)
    ? Number(value)
    : undefined;
}
