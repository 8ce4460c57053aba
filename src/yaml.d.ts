/** Chart files are imported as text; the build inlines them, so that the one binary carries them. */
declare module "*.yaml" {
    const text: string;
    export default text;
}
