/** A change of a key in the store stand-in, as its protocol sends it. */
export interface StoredItem {
  readonly key: string;
  /** Base64; absent if the key was removed. */
  readonly value?: string;
  readonly rev: number;
  readonly removed?: true;
}
