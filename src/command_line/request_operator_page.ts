import { type Dispatcher, request } from "undici";
import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { tryParseAddress } from "../runtime/try_parse_address.ts";

const headersTimeoutMilliseconds = 3_000;
const okStatus = 200;

/**
 * Requests a page from the operators' listener of a node at `address` (`HOST:PORT`).
 * The body has no timeout, so that `/trail?follow` can be streamed indefinitely.
 */
export async function requestOperatorPage(
  address: string,
  path: string,
): Promise<Result<Dispatcher.ResponseData, Diagnostic>> {
  if (tryParseAddress(address) === undefined) {
    return Result.err(createDiagnostic(DiagnosticCode.UsageInvalid, {
      path: address,
      found: "not an address",
      allowed: 'the operators\' listener of a node, such as "127.0.0.1:6001"',
    }));
  }
  try {
    const response = await request(`http://${address}${path}`, {
      headersTimeout: headersTimeoutMilliseconds,
      bodyTimeout: 0,
    });
    if (response.statusCode === okStatus) {
      return Result.ok(response);
    }
    await response.body.dump();
    return Result.err(createDiagnostic(DiagnosticCode.NodeResponseInvalid, {
      path: `${address}${path}`,
      found: `status ${response.statusCode}`,
      allowed: `status ${okStatus}`,
    }));
  } catch (error) {
    return Result.err(createDiagnostic(DiagnosticCode.NodeUnreachable, {
      path: address,
      found: error instanceof Error && error.message !== ""
        ? error.message
        : String((error as NodeJS.ErrnoException).code ?? error),
    }));
  }
}
