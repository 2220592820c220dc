import type * as z from "zod";
import type { DistributionMethod } from "./distribution_method.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import type { readManifestResponseSchema } from "./read_manifest_response_schema.ts";
import type { readPartsResponseSchema } from "./read_parts_response_schema.ts";
import type { reconcileResponseSchema } from "./reconcile_response_schema.ts";
import type { storeVersionResponseSchema } from "./store_version_response_schema.ts";

/** A validated response to a request. */
export type DistributionResponse =
  | {
    readonly method: DistributionMethod.Exchange;
    readonly result: ExchangeMessage;
  }
  | {
    readonly method: DistributionMethod.Reconcile;
    readonly result: z.infer<typeof reconcileResponseSchema>;
  }
  | {
    readonly method: DistributionMethod.ReadManifest;
    readonly result: z.infer<typeof readManifestResponseSchema>;
  }
  | {
    readonly method: DistributionMethod.ReadParts;
    readonly result: z.infer<typeof readPartsResponseSchema>;
  }
  | {
    readonly method: DistributionMethod.StoreVersion;
    readonly result: z.infer<typeof storeVersionResponseSchema>;
  };
