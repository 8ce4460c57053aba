// The package has types for its index only. The modules are imported individually, because the index loads the whole
// library, which takes a fifth of an instance's memory.
declare module "undici/lib/dispatcher/pool.js" {
    import { Pool } from "undici";
    export default Pool;
}

declare module "undici/lib/dispatcher/dispatcher.js" {
    const constructor: { readonly prototype: object };
    export default constructor;
}

declare module "undici/lib/api/index.js" {
    const methods: object;
    export default methods;
}
