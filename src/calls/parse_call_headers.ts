import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { CallHeaders } from "./call_headers.ts";

const deadlineHeader = "request-deadline";
const keyHeader = "idempotency-key";
const attemptHeader = "idempotency-attempt";
const firstAttemptHeader = "idempotency-first-attempt";
const keyPattern = /^[\x21-\x7e]{1,128}$/;
const instantPattern = /^[0-9]{1,15}$/;
const attemptPattern = /^[1-9][0-9]{0,8}$/;
const quotedCharactersMaximum = 64;

type RawHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/**
 * Validates the headers that the mesh evaluates; names are in lower case. Fails
 * with a diagnostic for the first invalid header.
 */
export function parseCallHeaders(
  headers: RawHeaders,
  options: { readonly now: number; readonly clockSkewMilliseconds: number },
): Result<CallHeaders, Diagnostic> {
  const latestFirstAttempt = options.now + options.clockSkewMilliseconds;
  const problem = findInvalid(headers, deadlineHeader, {
    pattern: instantPattern,
    allowed: "an instant in whole milliseconds since the Unix epoch",
  }) ?? findInvalid(headers, keyHeader, {
    pattern: keyPattern,
    allowed: "1 to 128 visible ASCII characters",
  }) ?? findInvalid(headers, attemptHeader, {
    pattern: attemptPattern,
    allowed: "a whole number of at least 1",
  }) ?? findInvalid(headers, firstAttemptHeader, {
    pattern: instantPattern,
    allowed: "an instant in whole milliseconds since the Unix epoch",
  });
  if (problem !== undefined) {
    return Result.err(problem);
  }
  const firstAttemptAt = getNumber(headers, firstAttemptHeader);
  if (firstAttemptAt !== undefined && firstAttemptAt > latestFirstAttempt) {
    return Result.err(createInvalid(firstAttemptHeader, {
      found: String(firstAttemptAt),
      allowed: `an instant that is not in the future (now ${options.now})`,
    }));
  }
  return Result.ok({
    deadline: getNumber(headers, deadlineHeader),
    key: getText(headers, keyHeader),
    attempt: getNumber(headers, attemptHeader),
    firstAttemptAt,
  });
}

function findInvalid(
  headers: RawHeaders,
  name: string,
  rule: { readonly pattern: RegExp; readonly allowed: string },
): Diagnostic | undefined {
  const value = headers[name];
  if (value === undefined) {
    return undefined;
  }
  const text = typeof value === "string" ? value : value.join(", ");
  return rule.pattern.test(text) ? undefined : createInvalid(name, {
    found: JSON.stringify(text.slice(0, quotedCharactersMaximum)),
    allowed: rule.allowed,
  });
}

function createInvalid(
  name: string,
  details: { readonly found: string; readonly allowed: string },
): Diagnostic {
  return createDiagnostic(DiagnosticCode.CallHeaderInvalid, {
    path: name,
    ...details,
  });
}

function getText(headers: RawHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

function getNumber(headers: RawHeaders, name: string): number | undefined {
  const value = getText(headers, name);
  return value === undefined ? undefined : Number(value);
}
