import type { Result } from "true-myth";
import { match } from "ts-pattern";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { DistributionResponse } from "./distribution_response.ts";
import { DistributionMethod } from "./distribution_method.ts";
import { exchangeMessageSchema } from "./exchange_message_schema.ts";
import { parseControlMessage } from "./parse_control_message.ts";
import { readManifestResponseSchema } from "./read_manifest_response_schema.ts";
import { readPartsResponseSchema } from "./read_parts_response_schema.ts";
import { reconcileResponseSchema } from "./reconcile_response_schema.ts";
import { storeVersionResponseSchema } from "./store_version_response_schema.ts";

/**
 * Validates the response of another node to a request with the given method.
 */
export function parseDistributionResponse(
  method: DistributionMethod,
  input: unknown,
): Result<DistributionResponse, readonly Diagnostic[]> {
  return match(method)
    .returnType<Result<DistributionResponse, readonly Diagnostic[]>>()
    .with(
      DistributionMethod.Exchange,
      (method) =>
        parseControlMessage(exchangeMessageSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.Reconcile,
      (method) =>
        parseControlMessage(reconcileResponseSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.ReadManifest,
      (method) =>
        parseControlMessage(readManifestResponseSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.ReadParts,
      (method) =>
        parseControlMessage(readPartsResponseSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.StoreVersion,
      (method) =>
        parseControlMessage(storeVersionResponseSchema, input)
          .map((result) => ({ method, result })),
    )
    .exhaustive();
}
