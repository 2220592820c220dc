import { Result } from "true-myth";
import { match } from "ts-pattern";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { formatFoundValue } from "../diagnostics/format_found_value.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionRequest } from "./distribution_request.ts";
import { exchangeMessageSchema } from "./exchange_message_schema.ts";
import { parseControlMessage } from "./parse_control_message.ts";
import { readPartsRequestSchema } from "./read_parts_request_schema.ts";
import { reconcileRequestSchema } from "./reconcile_request_schema.ts";
import { storeVersionRequestSchema } from "./store_version_request_schema.ts";

const methods: readonly string[] = Object.values(DistributionMethod);

/** Validates a request from another node. */
export function parseDistributionRequest(
  method: string,
  parameters: unknown,
): Result<DistributionRequest, readonly Diagnostic[]> {
  return isDistributionMethod(method)
    ? parseParameters(method, parameters)
    : Result
      .err([
        createDiagnostic(DiagnosticCode.ControlMessageInvalid, {
          path: "method",
          found: formatFoundValue(method),
          allowed: methods.join(", "),
        }),
      ]);
}

function parseParameters(
  method: DistributionMethod,
  input: unknown,
): Result<DistributionRequest, readonly Diagnostic[]> {
  return match(method)
    .returnType<Result<DistributionRequest, readonly Diagnostic[]>>()
    .with(
      DistributionMethod.Exchange,
      (method) =>
        parseControlMessage(exchangeMessageSchema, input)
          .map((parameters) => ({ method, parameters })),
    )
    .with(
      DistributionMethod.Reconcile,
      (method) =>
        parseControlMessage(reconcileRequestSchema, input)
          .map((parameters) => ({ method, parameters })),
    )
    .with(DistributionMethod.ReadManifest, (method) => Result.ok({ method }))
    .with(
      DistributionMethod.ReadParts,
      (method) =>
        parseControlMessage(readPartsRequestSchema, input)
          .map((parameters) => ({ method, parameters })),
    )
    .with(
      DistributionMethod.StoreVersion,
      (method) =>
        parseControlMessage(storeVersionRequestSchema, input)
          .map((parameters) => ({ method, parameters })),
    )
    .exhaustive();
}

function isDistributionMethod(method: string): method is DistributionMethod {
  return methods.includes(method);
}
