import type * as z from "zod";
import type { DistributionMethod } from "./distribution_method.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import type { readPartsRequestSchema } from "./read_parts_request_schema.ts";
import type { reconcileRequestSchema } from "./reconcile_request_schema.ts";
import type { storeVersionRequestSchema } from "./store_version_request_schema.ts";

/** A validated request from another node. */
export type DistributionRequest =
  | {
    readonly method: DistributionMethod.Exchange;
    readonly parameters: ExchangeMessage;
  }
  | {
    readonly method: DistributionMethod.Reconcile;
    readonly parameters: z.infer<typeof reconcileRequestSchema>;
  }
  | { readonly method: DistributionMethod.ReadManifest }
  | {
    readonly method: DistributionMethod.ReadParts;
    readonly parameters: z.infer<typeof readPartsRequestSchema>;
  }
  | {
    readonly method: DistributionMethod.StoreVersion;
    readonly parameters: z.infer<typeof storeVersionRequestSchema>;
  };
