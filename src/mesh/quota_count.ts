/** Tokens or calls of an organisation at one node, with the labels of the metric. */
export interface QuotaCount {
  readonly labels: {
    readonly organisation: string;
    readonly kind: "granted" | "held" | "refused";
  };
  readonly calls: number;
}
